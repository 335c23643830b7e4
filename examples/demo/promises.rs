//! The guarantees that the demo checks, and the results.

use std::process::ExitCode;

/// The results of the checks so far.
#[derive(Default)]
pub struct Promises {
    broken: Vec<String>,
    kept: usize,
}

impl Promises {
    /// Prints and records whether a promise was kept.
    pub fn check(&mut self, promise: &str, kept: bool, seen: &str) {
        let result = if kept { "kept" } else { "BROKEN" };
        println!("  {result}: {promise} ({seen})");
        if kept {
            self.kept += 1;
        } else {
            self.broken.push(format!("{promise} ({seen})"));
        }
    }

    /// Prints a summary, and returns a failure if a promise was broken.
    pub fn report(&self) -> ExitCode {
        println!(
            "\n{} promises kept, {} broken",
            self.kept,
            self.broken.len()
        );
        if self.broken.is_empty() {
            return ExitCode::SUCCESS;
        }
        for broken in &self.broken {
            println!("  broken: {broken}");
        }
        ExitCode::FAILURE
    }
}
