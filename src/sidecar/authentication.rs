//! Authentication of callers: decides which account a request belongs to, and whether it needs one.
//!
//! Designed for callers outside the operator's control, which send no key, a wrong one, several, or one that was removed
//! while they are connected. Each request is judged on its own, by the document in force, so that a change of the document
//! takes effect for connected callers too.

use {
    super::document::{Account, Index},
    crate::http1::Field,
    std::sync::Arc,
};

/// Name of the header field with the key of the caller, in the form `Bearer KEY`. It is never forwarded.
pub const KEY_FIELD: &str = "authorization";
/// Maximum length of a key in bytes. A longer one counts as unknown, so that its lookup takes constant time.
pub const KEY_BYTES_MAX: usize = 512;

const SCHEME: &str = "Bearer";

/// Origin of a request, as far as it can replace a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// Any caller.
    Caller,
    /// The host of this node, while the upstream on it runs a request. Calls of that upstream carry no key.
    RunningUpstream,
}

/// A request needs the key of an account, and has none or an unknown one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unauthorized;

/// Key that a request presents.
enum Presented<'a> {
    /// No field with a key.
    Absent,
    /// A field of the expected form.
    Key(&'a str),
    /// Several fields, another scheme, or a value that no key can have.
    Unusable,
}

/// Returns the account of a request with these header fields; `None` if it belongs to no account and needs none. On a
/// public route a key is not required, but a known one still identifies the account.
///
/// # Errors
/// Returns [`Unauthorized`] if the request must not be served.
pub fn authenticate(
    index: &Index,
    fields: &[Field],
    is_public: bool,
    origin: Origin,
) -> Result<Option<Arc<Account>>, Unauthorized> {
    if !index.needs_key() {
        return Ok(None);
    }
    let key = presented_key(fields);
    if let Presented::Key(key) = key
        && let Some(account) = index.find_account(key)
    {
        return Ok(Some(account.clone()));
    }
    let is_own_call = origin == Origin::RunningUpstream && matches!(key, Presented::Absent);
    if is_public || is_own_call {
        return Ok(None);
    }
    Err(Unauthorized)
}

fn presented_key(fields: &[Field]) -> Presented<'_> {
    let mut fields = fields.iter().filter(|field| field.is(KEY_FIELD));
    let (field, further) = (fields.next(), fields.next());
    let Some(field) = field else {
        return Presented::Absent;
    };
    let value = std::str::from_utf8(&field.value).ok();
    let credentials = value.and_then(|value| value.trim().split_once(' '));
    match credentials {
        Some((scheme, key))
            if further.is_none()
                && scheme.eq_ignore_ascii_case(SCHEME)
                && key.len() <= KEY_BYTES_MAX =>
        {
            Presented::Key(key.trim_start())
        }
        _ => Presented::Unusable,
    }
}
