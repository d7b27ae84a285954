# A harmful change of a plan, which canary analysis rolls back. Compare bad-change-stays.hcl.
step "ruin" {
  at   = 0
  undo = true
}
step "pause" {
  for = "30s"
}
