//! The path and query of a request, percent-decoded.

use percent_encoding::percent_decode_str;

/// What a request asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The segments of the path.
    pub path: Vec<String>,
    parameters: Vec<(String, String)>,
}

/// Says why a path or query can't be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BadTarget {
    /// The decoded bytes are not text.
    #[error("the path or query is not UTF-8 when percent-decoded")]
    Encoding,
    /// A parameter is given twice.
    #[error("the parameter `{0}` is given twice")]
    Twice(String),
}

impl Target {
    /// Reads a request's target.
    ///
    /// # Errors
    /// Refuses what is not UTF-8 when decoded, and a parameter that is given twice.
    pub fn parse(url: &str) -> Result<Self, BadTarget> {
        let (path, query) = url.split_once('?').unwrap_or((url, ""));
        let path = path.strip_prefix('/').unwrap_or(path);
        let path = path.split('/').map(decode).collect::<Result<_, _>>()?;
        let mut parameters: Vec<(String, String)> = Vec::new();
        for pair in query.split('&').filter(|pair| !pair.is_empty()) {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            let name = decode(&name.replace('+', " "))?;
            if parameters.iter().any(|(other, _)| *other == name) {
                return Err(BadTarget::Twice(name));
            }
            parameters.push((name, decode(&value.replace('+', " "))?));
        }
        Ok(Self { path, parameters })
    }

    /// Gives the value of a parameter.
    #[must_use]
    pub fn parameter(&self, name: &str) -> Option<&str> {
        self.parameters
            .iter()
            .find(|(other, _)| other == name)
            .map(|(_, value)| value.as_str())
    }

    /// Gives a parameter that is none of those known.
    #[must_use]
    pub fn unknown(&self, known: &[&str]) -> Option<&str> {
        self.parameters
            .iter()
            .map(|(name, _)| name.as_str())
            .find(|name| !known.contains(name))
    }
}

fn decode(text: &str) -> Result<String, BadTarget> {
    percent_decode_str(text)
        .decode_utf8()
        .map(Into::into)
        .map_err(|_| BadTarget::Encoding)
}
