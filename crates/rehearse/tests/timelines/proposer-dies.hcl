# The limiter that begins a change is killed when it sends its first accept. The other limiters complete or void the
# change.
step "kill" {
  limiter = 0
  from    = 0
  kind    = "accept"
}
step "change" {
  at   = 0
  rate = 6.5
}
step "pause" {
  for = "6s"
}
step "change" {
  at   = 1
  rate = 6
}
step "restart" {
  limiter = 0
}
