//! Validates the settings that a limiter starts with and those of a new version.

use crate::interface::{Class, Plan, Settings, SettingsError};

/// Returns an error if the settings are unusable.
pub(super) fn check(settings: &Settings) -> Result<(), SettingsError> {
    if settings.classes.is_empty() {
        return Err(SettingsError::NoClasses);
    }
    if settings.plans.is_empty() {
        return Err(SettingsError::NoPlans);
    }
    if settings.classes.iter().flat_map(class_numbers).any(is_unusable) {
        return Err(SettingsError::InvalidNumber("a class's figure"));
    }
    if settings.plans.iter().flat_map(plan_numbers).any(is_unusable) {
        return Err(SettingsError::InvalidNumber("a plan's figure"));
    }
    let slow_start = &settings.slow_start;
    let others = [slow_start.initial_share, slow_start.overload_multiple, settings.max_units];
    if others.into_iter().any(is_unusable) {
        return Err(SettingsError::InvalidNumber("a slow-start value or the maximum units"));
    }
    Ok(())
}

fn class_numbers(class: &Class) -> [f64; 2] {
    [class.priority_weight, class.late_weight_share]
}

fn plan_numbers(plan: &Plan) -> [f64; 6] {
    [plan.rate, plan.burst, plan.ceiling_rate, plan.ceiling_burst, plan.over_quota_cost, plan.price]
}

fn is_unusable(number: f64) -> bool {
    !number.is_finite() || number < 0.0
}
