//! Command line of the soak test, which runs nodes under random faults. See docs/soak.md.

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

/// First byte of loopback addresses. The next two come from the process id, so that concurrent soak tests use different
/// addresses.
const LOOPBACK_BYTE: u8 = 127;

struct Options {
    keep: PathBuf,
    machines: usize,
    program: PathBuf,
    runs: u64,
    seconds: u64,
    seed: u64,
}

fn parse_options() -> Result<Option<Options>> {
    let mut flags = getopts::Options::new();
    flags.optopt("", "seed", "first seed; random by default", "N");
    flags.optopt("", "runs", "number of successive seeds to run", "N");
    flags.optopt(
        "",
        "seconds",
        "duration of the faults in each run, in seconds",
        "N",
    );
    flags.optopt("", "machines", "number of machines, 4 to 100", "N");
    flags.optopt("", "program", "executable of the node", "FILE");
    flags.optopt("", "keep", "directory for settings and logs", "DIRECTORY");
    flags.optflag("h", "help", "show this text");
    let matches = flags.parse(std::env::args().skip(1)).into_diagnostic()?;
    if matches.opt_present("help") {
        print!(
            "{}",
            flags.usage("Runs nodes under random faults and checks their guarantees.")
        );
        return Ok(None);
    }
    let default_program = std::env::current_exe().into_diagnostic()?;
    let default_program = default_program.with_file_name("mulberry-sidecar");
    let options = Options {
        keep: matches
            .opt_str("keep")
            .map_or_else(|| "target/soak".into(), PathBuf::from),
        machines: matches.opt_get_default("machines", 9).into_diagnostic()?,
        program: matches
            .opt_str("program")
            .map_or(default_program, PathBuf::from),
        runs: matches.opt_get_default("runs", 1).into_diagnostic()?,
        seconds: matches.opt_get_default("seconds", 20).into_diagnostic()?,
        seed: match matches.opt_get("seed").into_diagnostic()? {
            Some(seed) => seed,
            None => u64::from(rand::random::<u32>()),
        },
    };
    miette::ensure!(
        (4..=100).contains(&options.machines),
        "--machines must be between 4 and 100"
    );
    miette::ensure!(
        options.program.exists(),
        "node executable {} not found; build it or pass --program",
        options.program.display()
    );
    Ok(Some(options))
}

fn main() -> Result<ExitCode> {
    let Some(options) = parse_options()? else {
        return Ok(ExitCode::SUCCESS);
    };
    let mut failed = 0;
    for seed in options.seed..options.seed + options.runs {
        let directory = options.keep.join(seed.to_string());
        let report = run_seed(&options, seed, &directory)?;
        println!(
            "seed {seed}: {} requests, {} served, {} violations",
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
                "  logs in {}; repeat with --seed {seed} --seconds {} --machines {}",
                directory.display(),
                options.seconds,
                options.machines
            );
        }
    }
    println!("{failed} of {} runs had violations", options.runs);
    Ok(if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn run_seed(options: &Options, seed: u64, directory: &Path) -> Result<Report> {
    if directory.exists() {
        fs::remove_dir_all(directory).into_diagnostic()?;
    }
    fs::create_dir_all(directory).into_diagnostic()?;
    let plan = Plan::draw(seed, Duration::from_secs(options.seconds), options.machines);
    fs::write(directory.join("plan"), plan.to_string()).into_diagnostic()?;
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let ground = Ground {
        directory: directory.into(),
        network: [LOOPBACK_BYTE, high.max(1), low],
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
