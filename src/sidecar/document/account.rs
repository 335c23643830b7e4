//! Client accounts of a document: their keys, limits, priority and regions.

use {
    crate::types::{AccountName, Region},
    serde::{Deserialize, Serialize},
    std::{
        borrow::Borrow,
        collections::BTreeSet,
        fmt::{self, Debug, Display, Formatter},
    },
};

/// A secret that callers present to be recognised as an account. Its text appears in no log and no `Debug` output.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(Box<str>);

impl Key {
    /// Creates a key from its text.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }

    /// Returns the text of the key.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Permits the lookup of a key by the text that a caller has sent.
impl Borrow<str> for Key {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl Debug for Key {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

/// A number of requests per second, with a resolution of one thousandth.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rate(u64);

impl Rate {
    /// Creates a rate from a number of requests per second. `None` if it is negative, not finite or above 1e9.
    #[must_use]
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn from_per_second(per_second: f64) -> Option<Self> {
        let in_range = (0.0..=1e9).contains(&per_second);
        in_range.then(|| Self((per_second * 1000.0).round() as u64))
    }

    /// Returns the number of requests per second.
    #[must_use]
    #[expect(clippy::cast_precision_loss)]
    pub fn per_second(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}

impl Display for Rate {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "{}/s", self.per_second())
    }
}

/// The limit on the requests of an account, over all nodes together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountLimit {
    /// The number of requests that it may send at once, beyond its rate.
    pub burst: u32,
    /// The rate that it may sustain.
    pub rate: Rate,
}

/// The account of a request as a field of a log line, with a space before it; nothing for a request without an account.
#[derive(Debug, Clone, Copy)]
pub struct AccountField<'a>(pub Option<&'a AccountName>);

impl Display for AccountField<'_> {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        self.0.map_or(Ok(()), |name| write!(f, " account={name}"))
    }
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// The keys that identify callers as this account.
    pub keys: BTreeSet<Key>,
    /// The limit on its requests; `None` for no limit.
    pub limit: Option<AccountLimit>,
    /// The name, unique within the document.
    pub name: AccountName,
    /// The priority of its requests, which replaces that of their route; `None` leaves that in force.
    pub priority: Option<u32>,
    /// The regions in which its requests may be served; empty for all.
    pub regions: BTreeSet<Region>,
}
