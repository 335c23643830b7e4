//! Counts the requests that run here for other nodes, so that a planned stop can wait for them.

use {std::sync::Arc, tokio::sync::watch};

/// Counts what is in flight.
#[derive(Debug, Clone)]
pub struct Flight(Arc<watch::Sender<usize>>);

/// Stands for one request until it is dropped.
#[derive(Debug)]
pub struct Seat(Flight);

impl Default for Flight {
    fn default() -> Self {
        Self(Arc::new(watch::Sender::new(0)))
    }
}

impl Flight {
    /// Counts one more until the seat is dropped.
    #[must_use]
    pub fn enter(&self) -> Seat {
        self.0.send_modify(|count| *count += 1);
        Seat(self.clone())
    }

    /// Gives how many there are.
    #[must_use]
    pub fn count(&self) -> usize {
        *self.0.borrow()
    }

    /// Returns once there are none.
    pub async fn idle(&self) {
        // The sender is held by `self`, so the wait ends with a count.
        let _ = self.0.subscribe().wait_for(|count| *count == 0).await;
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.0.0.send_modify(|count| *count -= 1);
    }
}
