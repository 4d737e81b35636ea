let n = 0;
while true { n += 1; }
#{ class: "quick", repeatable: true }
