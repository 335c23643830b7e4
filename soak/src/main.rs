//! Runs nodes under random faults. See docs/soak.md.

use {
    miette::{IntoDiagnostic, Result},
    mulberryshelf_soak::{
        fleet::Ground,
        plan::Plan,
        run::{self, Report},
    },
    std::{
        fs,
        path::{Path, PathBuf},
        process::ExitCode,
        time::Duration,
    },
};

/// The loopback network; each process uses a part of its own, by its id.
const NETWORK: u8 = 127;

struct Options {
    keep: PathBuf,
    machines: usize,
    program: PathBuf,
    runs: u64,
    seconds: u64,
    seed: u64,
}

fn options() -> Result<Option<Options>> {
    let mut known = getopts::Options::new();
    known.optopt("", "seed", "the first seed; drawn if it is not given", "N");
    known.optopt(
        "",
        "runs",
        "how many seeds to run, one after the other",
        "N",
    );
    known.optopt("", "seconds", "how long faults come in each run", "N");
    known.optopt("", "machines", "how many machines, 4 to 100", "N");
    known.optopt("", "program", "the node's program", "FILE");
    known.optopt(
        "",
        "keep",
        "where settings and logs are written",
        "DIRECTORY",
    );
    known.optflag("h", "help", "show this text");
    let given = known.parse(std::env::args().skip(1)).into_diagnostic()?;
    if given.opt_present("help") {
        print!(
            "{}",
            known.usage("Runs nodes under random faults and checks what they promise.")
        );
        return Ok(None);
    }
    let beside = std::env::current_exe().into_diagnostic()?;
    let beside = beside.with_file_name("mulberry-sidecar");
    let options = Options {
        keep: given
            .opt_str("keep")
            .map_or_else(|| "target/soak".into(), PathBuf::from),
        machines: given.opt_get_default("machines", 9).into_diagnostic()?,
        program: given.opt_str("program").map_or(beside, PathBuf::from),
        runs: given.opt_get_default("runs", 1).into_diagnostic()?,
        seconds: given.opt_get_default("seconds", 20).into_diagnostic()?,
        seed: match given.opt_get("seed").into_diagnostic()? {
            Some(seed) => seed,
            None => u64::from(rand::random::<u32>()),
        },
    };
    miette::ensure!(
        (4..=100).contains(&options.machines),
        "--machines is not within 4 and 100"
    );
    miette::ensure!(
        options.program.exists(),
        "{} is not there: build it, or state --program",
        options.program.display()
    );
    Ok(Some(options))
}

fn main() -> Result<ExitCode> {
    let Some(options) = options()? else {
        return Ok(ExitCode::SUCCESS);
    };
    let mut failed = 0;
    for seed in options.seed..options.seed + options.runs {
        let directory = options.keep.join(seed.to_string());
        let report = soak(&options, seed, &directory)?;
        println!(
            "seed {seed}: {} requests, {} served, {} promises broken",
            report.calls,
            report.served,
            report.violations.len()
        );
        for violation in &report.violations {
            println!("  {violation}");
        }
        if report.violations.is_empty() {
            fs::remove_dir_all(&directory).into_diagnostic()?;
        } else {
            failed += 1;
            println!(
                "  logs in {}; again: --seed {seed} --seconds {} --machines {}",
                directory.display(),
                options.seconds,
                options.machines
            );
        }
    }
    println!("{failed} of {} runs broke a promise", options.runs);
    Ok(if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn soak(options: &Options, seed: u64, directory: &Path) -> Result<Report> {
    if directory.exists() {
        fs::remove_dir_all(directory).into_diagnostic()?;
    }
    fs::create_dir_all(directory).into_diagnostic()?;
    let plan = Plan::draw(seed, Duration::from_secs(options.seconds), options.machines);
    fs::write(directory.join("plan"), plan.to_string()).into_diagnostic()?;
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let ground = Ground {
        directory: directory.into(),
        network: [NETWORK, high.max(1), low],
        program: options.program.clone(),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .into_diagnostic()?;
    let local = tokio::task::LocalSet::new();
    local
        .block_on(&runtime, run::run(&ground, options.machines, seed, &plan))
        .into_diagnostic()
}
