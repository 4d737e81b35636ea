#{ class: "patient", repeatable: false }
