# Every kind of step, with all keys, and without the keys that have a default.
step "change" {
  at   = 1
  rate = 3.6
}
step "undo" {
  at = 2
}
step "ruin" {
  at = 3
}
step "ruin" {
  at   = 4
  undo = false
}
step "kill" {
  limiter = 0
}
step "kill" {
  limiter = 1
  from    = 2
  kind    = "beat"
}
step "kill" {
  limiter = 1
  from    = 2
  kind    = "prepare"
  nth     = 3
}
step "kill" {
  limiter = 1
  from    = 2
  kind    = "promise"
  nth     = 10000
}
step "kill" {
  limiter = 1
  from    = 2
  kind    = "accepted"
}
step "kill" {
  limiter = 1
  from    = 2
  kind    = "want"
}
step "restart" {
  limiter = 0
}
step "restart" {
  limiter = 1
  store   = "whole"
}
step "restart" {
  limiter = 2
  store   = "gone"
}
step "restart" {
  limiter = 3
  store   = "torn"
}
step "freeze" {
  limiter = 4
}
step "thaw" {
  limiter = 4
}
step "cut" {
  from = 0
  to   = 4
}
step "split" {
  below = 4
}
step "link" {
  limiter = 1
  to      = "counter"
  state   = "stalled"
}
step "link" {
  limiter = 2
  to      = "roster"
  state   = "cut"
}
step "link" {
  limiter = 2
  to      = "roster"
  state   = "open"
}
step "mend" {}
step "weather" {}
step "weather" {
  loss   = 0.25
  double = 0.5
  damage = 1
  late   = "1.5s"
}
step "pause" {
  for = "250ms"
}
