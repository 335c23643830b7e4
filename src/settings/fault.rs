//! What is wrong with one setting.

use std::fmt::{self, Display, Formatter};

/// One fault of the settings, with its path and value.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("`{path}`{value}: {message}", value = Shown(value.as_deref()))]
pub struct Fault {
    /// Says what is wrong, and what would do.
    pub message: String,
    /// Where it is, such as `stop.timeout_ms` or `peers[2]`.
    pub path: String,
    /// What stands there, if it may be shown.
    pub value: Option<String>,
}

struct Shown<'a>(Option<&'a str>);

impl Display for Shown<'_> {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self.0 {
            Some(value) => write!(f, " = {value}"),
            None => Ok(()),
        }
    }
}
