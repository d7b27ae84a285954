# Kills the limiter that proposes a change when it sends its first accept message. The others complete the change or
# decide that it is void.
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
