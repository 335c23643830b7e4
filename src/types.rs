//! The names of regions, failure domains, hosts, services, versions and resources, and the types for
//! revisions, traffic shares and points in time. See docs/glossary.md.

use {
    serde::{Deserialize, Serialize},
    std::{
        fmt::{self, Display, Formatter},
        str::FromStr,
        sync::Arc,
        time::Duration,
    },
};

/// The maximum length of a name, in bytes. It is that of a DNS label, so that a name fits into a
/// certificate.
pub const NAME_BYTES_MAX: usize = 63;

/// The error for a text that is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "`{text}` is not a name: 1 to {NAME_BYTES_MAX} of a-z, 0-9 and `-`, beginning and ending with a letter or digit"
)]
pub struct InvalidName {
    /// The refused text.
    pub text: String,
}

fn is_name(text: &str) -> bool {
    let is_letter_or_digit = |byte: Option<&u8>| byte.is_some_and(u8::is_ascii_alphanumeric);
    let bytes = text.as_bytes();
    bytes.len() <= NAME_BYTES_MAX
        && is_letter_or_digit(bytes.first())
        && is_letter_or_digit(bytes.last())
        && bytes
            .iter()
            .all(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit() || *byte == b'-')
}

/// The maximum length of the name of a client account, in bytes.
const ACCOUNT_NAME_BYTES_MAX: usize = 128;

/// Accounts are named outside the mesh, so their names only have to fit into a header field and a field of the log.
fn is_account_name(text: &str) -> bool {
    let is_valid = |byte: u8| byte.is_ascii_graphic() && byte != b'"';
    (1..=ACCOUNT_NAME_BYTES_MAX).contains(&text.len()) && text.bytes().all(is_valid)
}

macro_rules! name {
  ($(#[$doc:meta])* $type:ident) => {
    name! { $(#[$doc])* $type, is_name }
  };
  ($(#[$doc:meta])* $type:ident, $is_valid:ident) => {
    $(#[$doc])*
    #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
    #[serde(try_from = "String")]
    pub struct $type(Arc<str>);

    impl $type {
      /// Returns the name as text.
      #[must_use]
      pub fn as_str(&self) -> &str {
        &self.0
      }
    }

    impl Display for $type {
      fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str(&self.0)
      }
    }

    impl FromStr for $type {
      type Err = InvalidName;

      fn from_str(text: &str) -> Result<Self, InvalidName> {
        if $is_valid(text) {
          Ok(Self(text.into()))
        } else {
          Err(InvalidName { text: text.into() })
        }
      }
    }

    impl TryFrom<String> for $type {
      type Error = InvalidName;

      fn try_from(text: String) -> Result<Self, InvalidName> {
        text.parse()
      }
    }
  };
}

name! {
  /// The name of a region: failure domains that share a fast network.
  Region
}
name! {
  /// The name of a failure domain: hosts that tend to fail together.
  Domain
}
name! {
  /// The name of a host, which runs one upstream and its node.
  Host
}
name! {
  /// The name of a service that callers address.
  Service
}
name! {
  /// The name of a version of a service.
  Version
}
name! {
  /// The name of a client account.
  AccountName, is_account_name
}
name! {
  /// The name of a resource, unique within its kind.
  Name
}

impl From<Name> for Version {
    fn from(name: Name) -> Self {
        Self(name.0)
    }
}

impl From<Version> for Name {
    fn from(version: Version) -> Self {
        Self(version.0)
    }
}

impl From<Name> for Service {
    fn from(name: Name) -> Self {
        Self(name.0)
    }
}

impl From<Service> for Name {
    fn from(service: Service) -> Self {
        Self(service.0)
    }
}

/// The number of an accepted configuration. Revisions have no gaps, and no node ever goes back to a
/// lower one. Revision 0 is the empty configuration.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// Returns the revision that follows this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Display for Revision {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Revision {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// A share of traffic, in thousandths.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Permille(pub u16);

impl Permille {
    /// All of the traffic.
    pub const WHOLE: Self = Self(1000);
}

impl Display for Permille {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "{}‰", self.0)
    }
}

impl FromStr for Permille {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.trim_end_matches('‰').parse().map(Self)
    }
}

/// A point in time, in microseconds since the Unix epoch. The daemon advances it by a monotonic
/// clock from one reading of the wall clock, so it does not go backwards within a process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(pub u64);

impl Moment {
    /// Returns the time from `earlier` to this moment, or zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl std::ops::Add<Duration> for Moment {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Display for Moment {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        let micros = i64::try_from(self.0).unwrap_or(i64::MAX);
        match jiff::Timestamp::from_microsecond(micros) {
            Ok(timestamp) => timestamp.fmt(f),
            Err(_) => write!(f, "{}us", self.0),
        }
    }
}

impl FromStr for Moment {
    type Err = jiff::Error;

    fn from_str(text: &str) -> Result<Self, jiff::Error> {
        let timestamp: jiff::Timestamp = text.parse()?;
        Ok(Self(u64::try_from(timestamp.as_microsecond()).unwrap_or(0)))
    }
}

impl Serialize for Moment {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            serializer.serialize_u64(self.0)
        }
    }
}

impl<'de> Deserialize<'de> for Moment {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            let text = String::deserialize(deserializer)?;
            text.parse().map_err(serde::de::Error::custom)
        } else {
            u64::deserialize(deserializer).map(Self)
        }
    }
}
