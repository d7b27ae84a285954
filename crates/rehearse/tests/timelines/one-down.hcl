# A quota is changed while one limiter is down. After its restart under load, that limiter must not serve requests
# under the old quota.
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
