//! Faults of the settings.

use std::fmt::{self, Display, Formatter};

/// A fault of one setting.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("`{path}`{value}: {message}", value = DisplayValue(value.as_deref()))]
pub struct Fault {
    /// Describes what is wrong, and what is valid instead.
    pub message: String,
    /// The path of the setting, such as `stop.timeout_ms` or `peers[2]`; `.` for the whole text.
    pub path: String,
    /// The value as JSON. `None` if the setting is missing or is a secret.
    pub value: Option<String>,
}

struct DisplayValue<'a>(Option<&'a str>);

impl Display for DisplayValue<'_> {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self.0 {
            Some(value) => write!(f, " = {value}"),
            None => Ok(()),
        }
    }
}
