//! Scales of the work of each class relative to the fleet file, for each window of a capture.

use sedgestack_fleet::Micros;

/// Length of the windows that are scaled separately, so that a temporary increase of work is located in time.
pub const WINDOW: Micros = 5_000_000;

/// The scale of each class's work in each window of a capture.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkScales {
    /// By class and window.
    by_class: Vec<Vec<f64>>,
}

impl WorkScales {
    /// Creates scales of 1, which leave the work as in the fleet file, for a capture of the given length.
    pub fn unscaled(classes: usize, length: Micros) -> WorkScales {
        let windows = length.div_ceil(WINDOW).max(1) as usize;
        WorkScales { by_class: vec![vec![1.0; windows]; classes] }
    }

    /// Returns the scale of a class's work at a time of the capture.
    pub fn at(&self, class: usize, at: Micros) -> f64 {
        let windows = &self.by_class[class];
        windows[((at / WINDOW) as usize).min(windows.len() - 1)]
    }

    /// Returns the scales of a class, by window.
    pub fn of_class(&self, class: usize) -> &[f64] {
        &self.by_class[class]
    }

    /// Returns the scales of each class for modification.
    pub fn classes_mut(&mut self) -> impl Iterator<Item = &mut Vec<f64>> {
        self.by_class.iter_mut()
    }
}
