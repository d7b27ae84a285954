# A change begins in the minority of a network partition, and another one in the majority. 30% of all datagrams are lost
# throughout.
step "weather" {
  loss   = 0.3
  double = 0.1
  damage = 0.01
  late   = "300ms"
}
step "split" {
  below = 2
}
step "change" {
  at   = 0
  rate = 6.5
}
step "pause" {
  for = "3s"
}
step "change" {
  at   = 3
  rate = 6
}
step "pause" {
  for = "4s"
}
step "mend" {}
