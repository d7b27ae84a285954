# The harmful change of bad-change.hcl on a tier without canary analysis, to measure what 30 seconds of it cost.
step "ruin" {
  at   = 0
  undo = false
}
step "pause" {
  for = "30s"
}
