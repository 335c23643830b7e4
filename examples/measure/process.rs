//! The CPU time and memory of other processes, as /proc shows them.

use std::{fs, time::Instant};

/// The clock ticks per second, the unit in which /proc states CPU time.
const TICKS_PER_SECOND: f64 = 100.0;

struct Sample {
    cpu_seconds: f64,
    resident_kib: u64,
}

/// The CPU time and memory that processes use over a period of time.
pub struct Usage {
    pids: Vec<String>,
    samples: Vec<Sample>,
    started: Instant,
}

impl Usage {
    /// Begins the period.
    pub fn begin(pids: &[&str]) -> Self {
        let pids: Vec<String> = pids.iter().map(ToString::to_string).collect();
        Self {
            samples: pids.iter().map(|pid| sample(pid)).collect(),
            pids,
            started: Instant::now(),
        }
    }

    /// Ends the period and prints a line for each process.
    pub fn end(self, what: &str) {
        let seconds = self.started.elapsed().as_secs_f64();
        for (pid, before) in self.pids.iter().zip(&self.samples) {
            let after = sample(pid);
            let cpu_seconds = after.cpu_seconds - before.cpu_seconds;
            println!(
                "process {pid} {what}: resident {} KiB (before {}), {:.2} s of CPU in {seconds:.1} s = {:.2}% of a core",
                after.resident_kib,
                before.resident_kib,
                cpu_seconds,
                100.0 * cpu_seconds / seconds,
            );
        }
    }
}

fn sample(pid: &str) -> Sample {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))
        .expect("cannot read /proc; is the process running?");
    let status = fs::read_to_string(format!("/proc/{pid}/status"))
        .expect("cannot read /proc; is the process running?");
    // The program's name, in parentheses, may contain spaces. User and system time are the 12th and
    // 13th fields after it.
    let (_, fields) = stat
        .rsplit_once(')')
        .expect("stat has no name in parentheses");
    let ticks: f64 = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .map(|field| field.parse::<f64>().expect("CPU time is not a number"))
        .sum();
    let resident = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.split_whitespace().next())
        .expect("status has no VmRSS");
    Sample {
        cpu_seconds: ticks / TICKS_PER_SECOND,
        resident_kib: resident.parse().expect("VmRSS is not a number of KiB"),
    }
}
