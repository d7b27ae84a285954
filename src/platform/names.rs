//! Lookup of the names in requests and load reports.

use std::collections::BTreeMap;

/// Maps names of classes and plans to their indices in the settings, and lists the columns of load reports.
#[derive(Clone, Debug)]
pub struct NameIndex {
    classes: BTreeMap<String, usize>,
    plans: BTreeMap<String, usize>,
    pub(super) columns: Vec<String>,
}

impl NameIndex {
    /// Creates an index in which each name stands for its position.
    pub fn new<'a>(
        classes: impl IntoIterator<Item = &'a str>,
        plans: impl IntoIterator<Item = &'a str>,
        columns: impl IntoIterator<Item = &'a str>,
    ) -> NameIndex {
        NameIndex {
            classes: indices_by_name(classes),
            plans: indices_by_name(plans),
            columns: columns.into_iter().map(String::from).collect(),
        }
    }

    /// Returns the index of a class in [`Settings::classes`](crate::Settings::classes).
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.get(name).copied()
    }

    /// Returns the index of a plan in [`Settings::plans`](crate::Settings::plans).
    pub fn plan(&self, name: &str) -> Option<usize> {
        self.plans.get(name).copied()
    }
}

fn indices_by_name<'a>(names: impl IntoIterator<Item = &'a str>) -> BTreeMap<String, usize> {
    names.into_iter().enumerate().map(|(index, name)| (name.to_string(), index)).collect()
}
