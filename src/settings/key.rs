//! The table of all settings, with their defaults, units and bounds. The reader uses it, and a test
//! checks that docs/operators/settings.md shows the same table.

use std::fmt::{self, Display, Formatter};

/// The description of one setting.
#[derive(Debug, Clone, Copy)]
pub struct Key {
    /// The default in JSON. `None` if the setting is required.
    pub default: Option<&'static str>,
    /// Describes the purpose of the setting.
    pub description: &'static str,
    /// The path in the JSON text, with dots between the names of nested objects.
    pub path: &'static str,
    /// The type and bounds of the value.
    pub rule: Rule,
}

/// The type and bounds of a setting's value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// An IP address and a port.
    Address,
    /// A list of IP addresses and ports.
    Addresses,
    /// The path of a readable file.
    File,
    /// A boolean.
    Flag,
    /// A duration in milliseconds.
    Millis {
        /// The longest duration allowed.
        max: u64,
        /// The shortest duration allowed.
        min: u64,
    },
    /// A name that follows the rules of DNS labels.
    Name,
    /// A bearer token.
    Token,
    /// An `http` URL without a query.
    Url,
}

const fn required(path: &'static str, rule: Rule, description: &'static str) -> Key {
    Key {
        default: None,
        description,
        path,
        rule,
    }
}

const fn optional(
    path: &'static str,
    rule: Rule,
    default: &'static str,
    description: &'static str,
) -> Key {
    Key {
        default: Some(default),
        description,
        path,
        rule,
    }
}

/// All settings, sorted by path.
pub const KEYS: &[Key] = &[
    required(
        "admin",
        Rule::Address,
        "where the upstream announces itself and an operator looks at this node",
    ),
    optional(
        "admin_exposed",
        Rule::Flag,
        "false",
        "whether `admin` may be other than loopback",
    ),
    required("api", Rule::Address, "where the resource API is served"),
    required(
        "authority",
        Rule::File,
        "the mesh authority's certificate, in PEM",
    ),
    required("certificate", Rule::File, "this node's certificate, in PEM"),
    required("domain", Rule::Name, "the failure domain of this host"),
    required("host", Rule::Name, "the name of this host"),
    required("key", Rule::File, "this node's private key, in PEM"),
    optional(
        "lease_ms",
        Rule::Millis {
            max: 60_000,
            min: 1_000,
        },
        "10000",
        "how long an upstream's announcement holds unless it is repeated",
    ),
    optional(
        "peers",
        Rule::Addresses,
        "[]",
        "where a few other nodes take QUIC connections",
    ),
    required(
        "platform",
        Rule::Url,
        "the platform's table service and object store",
    ),
    required("proxy", Rule::Address, "where callers' requests are taken"),
    required(
        "quic",
        Rule::Address,
        "where other nodes' QUIC connections are taken, over UDP",
    ),
    required(
        "region",
        Rule::Name,
        "the region of the host's failure domain",
    ),
    optional(
        "statsd",
        Rule::Address,
        "null",
        "where counters are sent in statsd's protocol, over UDP",
    ),
    optional(
        "stop.spread_ms",
        Rule::Millis { max: 2_000, min: 0 },
        "1000",
        "how long a leaving host still takes work after other nodes are told to send none",
    ),
    optional(
        "stop.timeout_ms",
        Rule::Millis {
            max: 600_000,
            min: 0,
        },
        "30000",
        "how long requests in flight may take to finish at a planned stop",
    ),
    required("tokens.read", Rule::Token, "permits reading the API"),
    required(
        "tokens.write",
        Rule::Token,
        "permits reading and writing the API",
    ),
];

impl Key {
    /// Returns the setting with this path.
    #[must_use]
    pub fn find(path: &str) -> Option<&'static Self> {
        KEYS.iter().find(|key| key.path == path)
    }

    /// Returns the known path that is most similar to an unknown one, as a suggestion.
    #[must_use]
    pub fn closest_match(path: &str) -> &'static str {
        let groups = KEYS.iter().filter_map(|key| key.path.split_once('.'));
        KEYS.iter()
            .map(|key| key.path)
            .chain(groups.map(|(group, _)| group))
            .min_by_key(|known| edit_distance(known, path))
            .unwrap_or_default()
    }
}

/// Returns the Levenshtein distance of two texts: how many characters have to be inserted, deleted or
/// replaced to get from one to the other.
fn edit_distance(from: &str, to: &str) -> usize {
    let to: Vec<char> = to.chars().collect();
    let mut row: Vec<usize> = (0..=to.len()).collect();
    for (index, letter) in from.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = index + 1;
        for (column, other) in to.iter().enumerate() {
            let replaced = diagonal + usize::from(letter != *other);
            diagonal = row[column + 1];
            row[column + 1] = replaced.min(diagonal + 1).min(row[column] + 1);
        }
    }
    row[to.len()]
}

impl Display for Rule {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self {
            Self::Address => f.write_str("IP address and port"),
            Self::Addresses => f.write_str("list of IP addresses and ports"),
            Self::File => f.write_str("path of a file that can be read"),
            Self::Flag => f.write_str("true or false"),
            Self::Millis { max, min } => write!(f, "milliseconds, {min} to {max}"),
            Self::Name => f.write_str("name: 1 to 63 of a-z, 0-9 and `-`"),
            Self::Token => f.write_str("1 to 256 visible ASCII characters"),
            Self::Url => f.write_str("URL: http://HOST:PORT"),
        }
    }
}

impl Display for Key {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        let default = self
            .default
            .map_or_else(|| "must be given".into(), |default| format!("`{default}`"));
        write!(
            f,
            "| `{}` | {default} | {} | {} |",
            self.path, self.rule, self.description
        )
    }
}
