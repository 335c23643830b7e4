//! The path and query of a request, percent-decoded.

use percent_encoding::percent_decode_str;

/// The target of a request: its path and query parameters.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Decoded segments of the path.
    pub path: Vec<String>,
    parameters: Vec<(String, String)>,
}

/// Reason why a path or query is malformed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InvalidTarget {
    /// The decoded bytes are not UTF-8.
    #[error("the path or query is not UTF-8 when percent-decoded")]
    InvalidUtf8,
    /// The query has this parameter more than once.
    #[error("the parameter `{0}` is given twice")]
    DuplicateParameter(String),
}

impl Target {
    /// Parses a request's target.
    ///
    /// # Errors
    /// Fails if a part is not UTF-8 when decoded, or if the query has a parameter more than once.
    pub fn parse(url: &str) -> Result<Self, InvalidTarget> {
        let (path, query) = url.split_once('?').unwrap_or((url, ""));
        let path = path.strip_prefix('/').unwrap_or(path);
        let path = path.split('/').map(decode).collect::<Result<_, _>>()?;
        let mut parameters: Vec<(String, String)> = Vec::new();
        for pair in query.split('&').filter(|pair| !pair.is_empty()) {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            let name = decode(&name.replace('+', " "))?;
            if parameters.iter().any(|(other, _)| *other == name) {
                return Err(InvalidTarget::DuplicateParameter(name));
            }
            parameters.push((name, decode(&value.replace('+', " "))?));
        }
        Ok(Self { path, parameters })
    }

    /// Returns the value of a query parameter, which is empty for one without `=`.
    #[must_use]
    pub fn parameter(&self, name: &str) -> Option<&str> {
        self.parameters
            .iter()
            .find(|(other, _)| other == name)
            .map(|(_, value)| value.as_str())
    }

    /// Returns the first query parameter that is not among those known.
    #[must_use]
    pub fn unknown_parameter(&self, known: &[&str]) -> Option<&str> {
        self.parameters
            .iter()
            .map(|(name, _)| name.as_str())
            .find(|name| !known.contains(name))
    }
}

fn decode(text: &str) -> Result<String, InvalidTarget> {
    percent_decode_str(text)
        .decode_utf8()
        .map(Into::into)
        .map_err(|_| InvalidTarget::InvalidUtf8)
}
