//! What has to hold, and whether it did.

use std::process::ExitCode;

/// What was looked at so far.
#[derive(Default)]
pub struct Promises {
    broken: Vec<String>,
    kept: usize,
}

impl Promises {
    /// Notes whether a promise was kept.
    pub fn check(&mut self, promise: &str, kept: bool, seen: &str) {
        let word = if kept { "kept" } else { "BROKEN" };
        println!("  {word}: {promise} ({seen})");
        if kept {
            self.kept += 1;
        } else {
            self.broken.push(format!("{promise} ({seen})"));
        }
    }

    /// Prints the sum and gives the exit code.
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
