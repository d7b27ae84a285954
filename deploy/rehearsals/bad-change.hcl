# Makes a harmful change to a plan, which the tier rolls back automatically. See bad-change-stays.hcl for the cost of
# the same change without a rollback.
step "ruin" {
  at   = 0
  undo = true
}
step "pause" {
  for = "30s"
}
