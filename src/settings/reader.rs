//! Reads single settings out of JSON, and gathers what is wrong with them.

use {
    super::{
        Fault, Key,
        key::{KEYS, Rule},
    },
    hyper::Uri,
    serde_json::Value,
    std::{fs::File, net::SocketAddr, path::PathBuf, str::FromStr, time::Duration},
};

const TOKEN_BYTES_MAX: usize = 256;

/// Reads settings, each by its path.
pub(super) struct Reader {
    /// What is wrong so far.
    pub(super) faults: Vec<Fault>,
    root: Value,
}

impl Reader {
    /// Begins with a JSON object.
    pub(super) fn new(root: Value) -> Self {
        let mut reader = Self {
            faults: Vec::new(),
            root,
        };
        reader.unknown("", &reader.root.clone());
        reader
    }

    /// Notes a fault.
    pub(super) fn fault(&mut self, path: &str, value: Option<String>, message: impl Into<String>) {
        self.faults.push(Fault {
            message: message.into(),
            path: path.into(),
            value,
        });
    }

    /// Reads an address.
    pub(super) fn address(&mut self, path: &str) -> Option<SocketAddr> {
        self.read(path, address)
    }

    /// Reads an address that may be left out.
    pub(super) fn maybe_address(&mut self, path: &str) -> Option<SocketAddr> {
        if self.value(path).is_null() {
            return None;
        }
        self.address(path)
    }

    /// Reads several addresses of other nodes.
    pub(super) fn peers(&mut self, path: &str) -> Vec<SocketAddr> {
        let Some(items) = self.read(path, |value| {
            value.as_array().cloned().ok_or("is not a list".into())
        }) else {
            return Vec::new();
        };
        let mut peers = Vec::new();
        for (index, item) in items.iter().enumerate() {
            match peer(item, &peers) {
                Ok(address) => peers.push(address),
                Err(message) => {
                    self.fault(&format!("{path}[{index}]"), Some(item.to_string()), message);
                }
            }
        }
        peers
    }

    /// Reads the path of a file that can be read.
    pub(super) fn file(&mut self, path: &str) -> Option<PathBuf> {
        self.read(path, |value| {
            let file = PathBuf::from(text(value)?);
            match File::open(&file) {
                Ok(_) => Ok(file),
                Err(error) => Err(format!("the file can't be read: {error}")),
            }
        })
    }

    /// Reads a flag.
    pub(super) fn flag(&mut self, path: &str) -> Option<bool> {
        self.read(path, |value| {
            value.as_bool().ok_or("is not true or false".into())
        })
    }

    /// Reads a span of time.
    pub(super) fn millis(&mut self, path: &str) -> Option<Duration> {
        let rule = Key::find(path)?.rule;
        let Rule::Millis { max, min } = rule else {
            return None;
        };
        self.read(path, |value| {
            value
                .as_u64()
                .filter(|millis| (min..=max).contains(millis))
                .map(Duration::from_millis)
                .ok_or_else(|| format!("is not a number of {rule}"))
        })
    }

    /// Reads a name.
    pub(super) fn name<T: FromStr<Err: ToString>>(&mut self, path: &str) -> Option<T> {
        self.read(path, |value| {
            text(value)?
                .parse()
                .map_err(|error: T::Err| error.to_string())
        })
    }

    /// Reads a token, which no fault shows.
    pub(super) fn token(&mut self, path: &str) -> Option<String> {
        let before = self.faults.len();
        let token = self.read(path, |value| {
            let token = text(value)?;
            let visible = token.bytes().all(|byte| byte.is_ascii_graphic());
            if token.is_empty() || token.len() > TOKEN_BYTES_MAX || !visible {
                return Err(format!("is not {}", Rule::Token));
            }
            Ok(token.into())
        });
        for fault in &mut self.faults[before..] {
            fault.value = None;
        }
        token
    }

    /// Reads a URL of a service that speaks HTTP.
    pub(super) fn url(&mut self, path: &str) -> Option<String> {
        self.read(path, |value| {
            let text = text(value)?;
            let url: Uri = text
                .parse()
                .map_err(|error| format!("is not a URL: {error}"))?;
            match (url.scheme_str(), url.host()) {
                (Some("http"), Some(host)) if !host.is_empty() => {}
                (Some("http"), _) => return Err("names no host".into()),
                _ => return Err("does not begin with http://".into()),
            }
            if url.query().is_some() {
                return Err("has a query, and may have none".into());
            }
            Ok(text.trim_end_matches('/').into())
        })
    }

    fn read<T>(
        &mut self,
        path: &str,
        parse: impl FnOnce(&Value) -> Result<T, String>,
    ) -> Option<T> {
        let value = self.value(path);
        let default = Key::find(path).and_then(|key| key.default);
        let parsed = match (&value, default) {
            (Value::Null, None) => {
                self.fault(path, None, "must be given");
                return None;
            }
            (Value::Null, Some(default)) => {
                parse(&serde_json::from_str(default).unwrap_or_default())
            }
            _ => parse(&value),
        };
        parsed
            .map_err(|message| self.fault(path, Some(value.to_string()), message))
            .ok()
    }

    fn value(&self, path: &str) -> Value {
        path.split('.')
            .try_fold(&self.root, |value, step| value.get(step))
            .cloned()
            .unwrap_or_default()
    }

    fn unknown(&mut self, group: &str, value: &Value) {
        let Some(members) = value.as_object() else {
            let group = if group.is_empty() { "." } else { group };
            return self.fault(group, Some(value.to_string()), "is not an object");
        };
        for (name, member) in members {
            let path = if group.is_empty() {
                name.clone()
            } else {
                format!("{group}.{name}")
            };
            if Key::find(&path).is_some() {
                continue;
            }
            if is_group(&path) {
                self.unknown(&path, member);
            } else {
                let nearest = Key::nearest(&path);
                self.fault(&path, None, format!("is unknown; is `{nearest}` meant?"));
            }
        }
    }
}

fn is_group(path: &str) -> bool {
    KEYS.iter()
        .filter_map(|key| key.path.split_once('.'))
        .any(|(group, _)| group == path)
}

fn text(value: &Value) -> Result<&str, String> {
    value.as_str().ok_or("is not a text".into())
}

fn address(value: &Value) -> Result<SocketAddr, String> {
    text(value)?
        .parse()
        .map_err(|_| "is not an IP address and port, such as 10.0.0.7:7000".into())
}

fn peer(value: &Value, before: &[SocketAddr]) -> Result<SocketAddr, String> {
    let address = address(value)?;
    if address.ip().is_unspecified() || address.port() == 0 {
        return Err("nothing can be reached there".into());
    }
    if before.contains(&address) {
        return Err("stands in the list twice".into());
    }
    Ok(address)
}
