//! A count of the requests that run at this node for other nodes, so that a planned stop can wait for
//! them.

use {std::sync::Arc, tokio::sync::watch};

/// A shared counter of the requests in flight.
#[derive(Debug, Clone)]
pub struct RequestCounter(Arc<watch::Sender<usize>>);

/// A guard that counts one request until it is dropped.
#[derive(Debug)]
pub struct RequestGuard(RequestCounter);

impl Default for RequestCounter {
    fn default() -> Self {
        Self(Arc::new(watch::Sender::new(0)))
    }
}

impl RequestCounter {
    /// Adds one request to the count until the returned guard is dropped.
    #[must_use]
    pub fn start_request(&self) -> RequestGuard {
        self.0.send_modify(|count| *count += 1);
        RequestGuard(self.clone())
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn count(&self) -> usize {
        *self.0.borrow()
    }

    /// Waits until no request is in flight.
    pub async fn wait_idle(&self) {
        // `self` holds the sender, so the wait cannot fail.
        let _ = self.0.subscribe().wait_for(|count| *count == 0).await;
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.0.send_modify(|count| *count -= 1);
    }
}
