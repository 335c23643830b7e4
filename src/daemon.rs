//! The command line of `mulberryd`.

use {
    crate::{
        error::{Error, Result},
        node::Node,
        settings::Settings,
        tls::Identity,
    },
    getopts::Options,
    std::path::{Path, PathBuf},
};

/// The command given on the command line.
#[derive(Debug, PartialEq, Eq)]
pub enum Command {
    /// Check the settings and exit.
    Check(PathBuf),
    /// Print a text and exit.
    Print(String),
    /// Run a node.
    Run(PathBuf),
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("s", "settings", "the file of the node's settings", "FILE");
    options.optflag("", "check", "check the settings and exit");
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options
}

/// Parses the command line.
///
/// # Errors
/// Fails with [`Error::Usage`] if the command line is invalid.
pub fn parse(arguments: &[String]) -> Result<Command> {
    let options = options();
    let usage = |message: String| Error::Usage { message };
    let matches = options
        .parse(arguments)
        .map_err(|error| usage(error.to_string()))?;
    if matches.opt_present("help") {
        let brief = "Usage: mulberryd --settings FILE [--check]";
        return Ok(Command::Print(options.usage(brief)));
    }
    if matches.opt_present("version") {
        return Ok(Command::Print(format!(
            "mulberryd {}\n",
            env!("CARGO_PKG_VERSION")
        )));
    }
    if let Some(extra) = matches.free.first() {
        return Err(usage(format!("unexpected argument `{extra}`")));
    }
    let path = matches
        .opt_str("settings")
        .map(PathBuf::from)
        .ok_or_else(|| usage("--settings FILE is required; see --help".into()))?;
    if matches.opt_present("check") {
        return Ok(Command::Check(path));
    }
    Ok(Command::Run(path))
}

/// Runs `mulberryd` with the given command line until it is terminated.
///
/// # Errors
/// Fails if the command line or the settings are invalid or a port cannot be bound.
pub fn run(arguments: &[String]) -> Result {
    match parse(arguments)? {
        Command::Check(path) => {
            load(&path)?;
            println!("{}: the settings are valid", path.display());
            Ok(())
        }
        Command::Print(text) => {
            print!("{text}");
            Ok(())
        }
        Command::Run(path) => {
            let (settings, identity) = load(&path)?;
            serve(settings, &identity)
        }
    }
}

/// Reads and checks the settings and the files that they name.
///
/// # Errors
/// Fails with all faults of the settings or, if there are none, with the first fault of the files.
pub fn load(path: &Path) -> Result<(Settings, Identity)> {
    let settings = Settings::open(path)?;
    let identity = settings.load_identity()?;
    identity.verify(&settings.host, &settings.domain)?;
    Ok((settings, identity))
}

fn serve(settings: Settings, identity: &Identity) -> Result {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .map_err(Error::Telemetry)?;
    runtime.block_on(async {
        let node = Node::spawn(settings, identity).await?;
        println!(
            "proxy {} api {} admin {} quic {}",
            node.proxy_address(),
            node.api_address(),
            node.admin_address(),
            node.quic_address()
        );
        wait_for_termination().await;
        node.stop().await;
        Ok(())
    })
}

async fn wait_for_termination() {
    use tokio::signal::unix::{SignalKind, signal};
    let (Ok(mut terminate), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
