#{ class: "quick", repeatable: path.starts_with("/v1/") || method == "GET" }
