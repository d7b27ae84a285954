//! A line of the simulator's protocol: the message name, and fields of the form `key=value`.

use sedgestack::platform::micros;
use sedgestack::Micros;

use super::WireError;

/// The field whose value may contain spaces: it extends to the end of the line.
const SETTINGS_KEY: &str = "settings";

/// A parsed line: the message name, and the fields in their order.
pub struct Line<'a> {
    pub name: &'a str,
    fields: Vec<Field<'a>>,
}

struct Field<'a> {
    key: &'a str,
    value: &'a str,
}

impl<'a> Line<'a> {
    /// Parses a line.
    pub fn parse(text: &'a str) -> Result<Self, WireError> {
        let (name, mut remaining) = text.split_once(' ').unwrap_or((text, ""));
        if name.is_empty() {
            return Err(WireError::NoMessageName);
        }
        let mut fields = Vec::new();
        while !remaining.is_empty() {
            let (key, after_key) =
                remaining.split_once('=').ok_or_else(|| WireError::NotAField(remaining.to_string()))?;
            let (value, after_value) = match key {
                SETTINGS_KEY => (after_key, ""),
                _ => after_key.split_once(' ').unwrap_or((after_key, "")),
            };
            fields.push(Field { key, value });
            remaining = after_value;
        }
        Ok(Line { name, fields })
    }

    /// Returns a field's value, or `None` if the line lacks the field.
    pub fn get(&self, key: &str) -> Option<&'a str> {
        self.fields.iter().find(|field| field.key == key).map(|field| field.value)
    }

    /// Returns the value of a required field.
    pub fn text(&self, key: &str) -> Result<&'a str, WireError> {
        let missing = || WireError::MissingField { message: self.name.to_string(), key: key.to_string() };
        self.get(key).ok_or_else(missing)
    }

    /// Returns a required field as a whole number.
    pub fn int(&self, key: &str) -> Result<u64, WireError> {
        let value = self.text(key)?;
        let error = |_| WireError::NotAnInteger { key: key.to_string(), value: value.to_string() };
        value.parse().map_err(error)
    }

    /// Returns a required field as a whole number of 32 bits.
    pub fn int32(&self, key: &str) -> Result<u32, WireError> {
        let value = self.int(key)?;
        u32::try_from(value).map_err(|_| WireError::OutOfRange { key: key.to_string(), value })
    }

    /// Returns a required field as a finite number.
    pub fn number(&self, key: &str) -> Result<f64, WireError> {
        let value = self.text(key)?;
        let number = value.parse().ok().filter(|number: &f64| number.is_finite());
        number.ok_or_else(|| WireError::NotFinite { key: key.to_string(), value: value.to_string() })
    }

    /// Returns a required field that holds a time in milliseconds.
    pub fn time(&self, key: &str) -> Result<Micros, WireError> {
        micros(self.number(key)?).ok_or_else(|| WireError::NotATime { key: key.to_string() })
    }

    /// Reads an optional field with `read`; returns `default` if the line lacks it.
    pub fn optional<T>(
        &self,
        key: &str,
        read: impl Fn(&Self, &str) -> Result<T, WireError>,
        default: T,
    ) -> Result<T, WireError> {
        match self.get(key) {
            Some(_) => read(self, key),
            None => Ok(default),
        }
    }

    /// Returns whether an optional field is 1; it may otherwise be 0 or missing.
    pub fn flag(&self, key: &str) -> Result<bool, WireError> {
        match self.get(key) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(other) => Err(WireError::NotAFlag { key: key.to_string(), value: other.to_string() }),
        }
    }
}
