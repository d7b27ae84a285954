# Changes a quota while one limiter is down. The limiter restarts under load and must not serve under the old quota.
step "kill" {
  limiter = 4
}
step "change" {
  at   = 0
  rate = 6.5
}
step "pause" {
  for = "4s"
}
step "restart" {
  limiter = 4
}
