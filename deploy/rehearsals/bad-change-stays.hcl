# Makes the harmful change of bad-change.hcl without canary analysis, so that it stays active. Shows what 30 s under it
# cost.
step "ruin" {
  at   = 0
  undo = false
}
step "pause" {
  for = "30s"
}
