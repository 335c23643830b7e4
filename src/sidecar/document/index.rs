//! Index of a document, by which each request finds its route and its account in constant time.

use {
    super::{Account, Document, Key, Route},
    std::{collections::HashMap, sync::Arc},
};

/// A document's routes, by hostname and prefix, and its accounts, by key.
#[derive(Debug, Default)]
pub struct Index {
    accounts: HashMap<Key, Arc<Account>>,
    needs_key: bool,
    routes: HashMap<String, HashMap<String, Arc<Route>>>,
}

impl Index {
    /// Builds the index of a document.
    #[must_use]
    pub fn new(document: &Document) -> Self {
        let mut routes: HashMap<String, HashMap<String, Arc<Route>>> = HashMap::new();
        for route in document.routes.values() {
            let prefixes = routes.entry(route.hostname.clone()).or_default();
            prefixes.insert(route.prefix.clone(), route.clone());
        }
        let accounts = document.accounts.values().flat_map(|account| {
            let keys = account.keys.iter();
            keys.map(|key| (key.clone(), account.clone()))
        });
        Self {
            accounts: accounts.collect(),
            needs_key: document.needs_key,
            routes,
        }
    }

    /// Returns the hostname's route with the longest prefix of the path, or `None` if no route matches.
    #[must_use]
    pub fn find_route(&self, hostname: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = self.routes.get(hostname)?;
        path.rmatch_indices('/')
            .find_map(|(slash, _)| prefixes.get(&path[..=slash]))
    }

    /// Returns the account that a key identifies, or `None` if no account has the key.
    #[must_use]
    pub fn find_account(&self, key: &str) -> Option<&Arc<Account>> {
        self.accounts.get(key)
    }

    /// Returns whether requests need the key of an account.
    #[must_use]
    pub fn needs_key(&self) -> bool {
        self.needs_key
    }
}
