//! Reads single settings from JSON and collects their faults.

use {
    super::{
        Fault, Key,
        key::{KEYS, Rule},
    },
    hyper::Uri,
    serde_json::Value,
    std::{fs::File, net::SocketAddr, path::PathBuf, str::FromStr, time::Duration},
};

/// The longest token, in bytes.
const TOKEN_BYTES_MAX: usize = 256;

/// A reader of settings by their paths. A missing setting takes its default from [`KEYS`]. For an invalid
/// one a fault is added and `None` is returned, so that one pass finds all faults.
pub(super) struct Reader {
    /// The faults found so far.
    pub(super) faults: Vec<Fault>,
    root: Value,
}

impl Reader {
    /// Creates a reader of a JSON value, and adds a fault for each unknown key in it.
    pub(super) fn new(root: Value) -> Self {
        let mut reader = Self {
            faults: Vec::new(),
            root,
        };
        reader.check_unknown_keys("", &reader.root.clone());
        reader
    }

    /// Adds a fault.
    pub(super) fn add_fault(
        &mut self,
        path: &str,
        value: Option<String>,
        message: impl Into<String>,
    ) {
        self.faults.push(Fault {
            message: message.into(),
            path: path.into(),
            value,
        });
    }

    /// Reads an address.
    pub(super) fn address(&mut self, path: &str) -> Option<SocketAddr> {
        self.read(path, parse_address)
    }

    /// Reads an address that may be missing or null.
    pub(super) fn optional_address(&mut self, path: &str) -> Option<SocketAddr> {
        if self.value(path).is_null() {
            return None;
        }
        self.address(path)
    }

    /// Reads the addresses of other nodes. Each invalid one adds a fault and is left out.
    pub(super) fn peers(&mut self, path: &str) -> Vec<SocketAddr> {
        let Some(items) = self.read(path, |value| {
            value.as_array().cloned().ok_or("is not a list".into())
        }) else {
            return Vec::new();
        };
        let mut peers = Vec::new();
        for (index, item) in items.iter().enumerate() {
            match parse_peer(item, &peers) {
                Ok(address) => peers.push(address),
                Err(message) => {
                    self.add_fault(&format!("{path}[{index}]"), Some(item.to_string()), message);
                }
            }
        }
        peers
    }

    /// Reads the path of a file, and checks that the file can be opened.
    pub(super) fn file(&mut self, path: &str) -> Option<PathBuf> {
        self.read(path, |value| {
            let file = PathBuf::from(as_text(value)?);
            match File::open(&file) {
                Ok(_) => Ok(file),
                Err(error) => Err(format!("the file can't be read: {error}")),
            }
        })
    }

    /// Reads a boolean.
    pub(super) fn flag(&mut self, path: &str) -> Option<bool> {
        self.read(path, |value| {
            value.as_bool().ok_or("is not true or false".into())
        })
    }

    /// Reads a duration in milliseconds, and checks its bounds.
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

    /// Reads a value that is parsed from a string.
    pub(super) fn name<T: FromStr<Err: ToString>>(&mut self, path: &str) -> Option<T> {
        self.read(path, |value| {
            as_text(value)?
                .parse()
                .map_err(|error: T::Err| error.to_string())
        })
    }

    /// Reads a token. Faults never contain its value, because it is a secret.
    pub(super) fn token(&mut self, path: &str) -> Option<String> {
        let fault_count = self.faults.len();
        let token = self.read(path, |value| {
            let token = as_text(value)?;
            let visible = token.bytes().all(|byte| byte.is_ascii_graphic());
            if token.is_empty() || token.len() > TOKEN_BYTES_MAX || !visible {
                return Err(format!("is not {}", Rule::Token));
            }
            Ok(token.into())
        });
        for fault in &mut self.faults[fault_count..] {
            fault.value = None;
        }
        token
    }

    /// Reads an `http` URL without a query, and removes slashes at its end.
    pub(super) fn url(&mut self, path: &str) -> Option<String> {
        self.read(path, |value| {
            let text = as_text(value)?;
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
                self.add_fault(path, None, "must be given");
                return None;
            }
            (Value::Null, Some(default)) => {
                parse(&serde_json::from_str(default).unwrap_or_default())
            }
            _ => parse(&value),
        };
        parsed
            .map_err(|message| self.add_fault(path, Some(value.to_string()), message))
            .ok()
    }

    fn value(&self, path: &str) -> Value {
        path.split('.')
            .try_fold(&self.root, |value, name| value.get(name))
            .cloned()
            .unwrap_or_default()
    }

    fn check_unknown_keys(&mut self, group: &str, value: &Value) {
        let Some(entries) = value.as_object() else {
            let group = if group.is_empty() { "." } else { group };
            return self.add_fault(group, Some(value.to_string()), "is not an object");
        };
        for (name, entry) in entries {
            let path = if group.is_empty() {
                name.clone()
            } else {
                format!("{group}.{name}")
            };
            if Key::find(&path).is_some() {
                continue;
            }
            if is_group(&path) {
                self.check_unknown_keys(&path, entry);
            } else {
                let nearest = Key::closest_match(&path);
                self.add_fault(&path, None, format!("is unknown; is `{nearest}` meant?"));
            }
        }
    }
}

fn is_group(path: &str) -> bool {
    KEYS.iter()
        .filter_map(|key| key.path.split_once('.'))
        .any(|(group, _)| group == path)
}

fn as_text(value: &Value) -> Result<&str, String> {
    value.as_str().ok_or("is not a text".into())
}

fn parse_address(value: &Value) -> Result<SocketAddr, String> {
    as_text(value)?
        .parse()
        .map_err(|_| "is not an IP address and port, such as 10.0.0.7:7000".into())
}

fn parse_peer(value: &Value, earlier: &[SocketAddr]) -> Result<SocketAddr, String> {
    let address = parse_address(value)?;
    if address.ip().is_unspecified() || address.port() == 0 {
        return Err("nothing can be reached there".into());
    }
    if earlier.contains(&address) {
        return Err("stands in the list twice".into());
    }
    Ok(address)
}
