//! The `rockpick` command line. Exit codes: 0 success, 1 a violated rule or a failed check, 2 a usage error.

/// Replaces the macro of the standard library, which panics when the reader of standard output is gone.
macro_rules! println {
    ($($args:tt)*) => { rockpick_rehearse::write_stdout(format_args!("{}\n", format_args!($($args)*))) };
}

macro_rules! print {
    ($($args:tt)*) => { rockpick_rehearse::write_stdout(format_args!($($args)*)) };
}

mod api_client;
mod bench;
mod bench_agents;
mod bench_tenants;
mod emulation;
mod load;
mod log_writer;
mod storm;

use clap::{Args, Parser, Subcommand, ValueEnum};
use rockpick_control::settings::is_valid_name;
use rockpick_fakes::{Clients, Defect, Load, Machine};
use rockpick_net::{MS, SEC};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    name = "rockpick",
    version,
    about = "A release controller, and the router that shifts traffic between builds"
)]
struct Cli {
    /// Format of the log lines on standard error.
    #[arg(long, global = true, value_enum, default_value = "text")]
    log: LogFormat,
    /// File with the disk faults to inject (see the package files); for storms.
    #[arg(long, global = true, hide = true)]
    disk_lies: Option<PathBuf>,
    /// Clock skew in parts per million, 1% at most; for storms.
    #[arg(long, global = true, hide = true, value_parser = clap::value_parser!(i64).range(-10_000..=10_000))]
    clock_ppm: Option<i64>,
    /// Seed of system calls that fail or do only a part; for soak tests.
    #[arg(long, global = true, hide = true)]
    call_faults: Option<u64>,
    /// Seed of steps of the wall clock, by seconds and by an hour; for soak tests.
    #[arg(long, global = true, hide = true)]
    wall_clock_steps: Option<u64>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    Json,
    Text,
}

#[derive(Args)]
struct ListenArg {
    /// Address to listen on; with port 0 the system chooses the port, and the address is printed.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
}

#[derive(Args)]
struct ControllerArg {
    /// The controller's address.
    #[arg(long)]
    controller: SocketAddr,
}

/// Gossip among fronts; a front without an address to listen on has no peers.
#[derive(Args)]
struct PeerArgs {
    /// Address for datagrams of peers.
    #[arg(long)]
    peers_listen: Option<SocketAddr>,
    /// Addresses of initial peers, separated by commas.
    #[arg(long, visible_alias = "join", value_delimiter = ',', requires = "peers_listen")]
    peers: Vec<SocketAddr>,
    /// Address advertised to peers, if it differs (a relay, address translation).
    #[arg(long, requires = "peers_listen")]
    peers_at: Option<SocketAddr>,
    /// File with the shared key of the group, 16 bytes or more.
    #[arg(long, requires = "peers_listen")]
    peers_key: Option<PathBuf>,
    /// Probe period in milliseconds; one peer is probed in each.
    #[arg(long, default_value_t = 1_000, requires = "peers_listen")]
    peers_period_ms: u64,
}

impl PeerArgs {
    fn config(self) -> Result<Option<rockpick_peers::Config>, CliError> {
        let Some(listen) = self.peers_listen else { return Ok(None) };
        let file = self.peers_key.ok_or(CliError("--peers-key is required with --peers-listen".into()))?;
        let key = std::fs::read(&file).map_err(|err| CliError(format!("{}: {err}", file.display())))?;
        let probe_period = i64::try_from(self.peers_period_ms.min(1 << 32)).unwrap_or(0) * MS;
        let config = rockpick_peers::Config {
            join: self.peers,
            listen,
            advertised: self.peers_at,
            key,
            probe_period,
            row_log: None,
        };
        config.check().map_err(CliError)?;
        Ok(Some(config))
    }
}

#[derive(Subcommand)]
enum PeersCommand {
    /// Shows the members that one front knows.
    Show {
        #[arg(long)]
        front: SocketAddr,
        #[arg(long)]
        json: bool,
    },
    /// Prints the rows of one table as stored at one front.
    State {
        #[arg(long)]
        front: SocketAddr,
        /// One of builds, machines, bindings, evidence and spent.
        #[arg(long, default_value = "builds")]
        table: String,
        #[arg(long)]
        json: bool,
    },
    /// Prints the rows in which fronts differ; the exit code is 1 if there are any.
    Differ {
        /// Addresses of two fronts or more, separated by commas.
        #[arg(long, value_delimiter = ',', required = true)]
        fronts: Vec<SocketAddr>,
    },
}

#[derive(Subcommand)]
enum Command {
    /// Runs the release controller.
    Controller {
        #[command(flatten)]
        listen: ListenArg,
        /// Directory of the snapshot; without it no state survives the process.
        #[arg(long)]
        state: Option<PathBuf>,
        /// Directory of the repository of signed builds, served under /repo.
        #[arg(long)]
        repo: Option<PathBuf>,
    },
    /// Runs the agent of a place, which fetches, verifies, starts, drains and rolls back builds.
    Agent {
        #[command(flatten)]
        target: ControllerArg,
        /// Name of its place in the settings.
        #[arg(long)]
        machine: String,
        /// Directory for trusted metadata, artefacts and process records.
        #[arg(long)]
        state: PathBuf,
        /// Root metadata to trust if none is trusted yet.
        #[arg(long)]
        root: Option<PathBuf>,
        /// Maximum download rate, in bytes per second.
        #[arg(long, default_value_t = 50e6)]
        rate: f64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Stop the builds when the agent stops; by default they keep running.
        #[arg(long)]
        take_down: bool,
    },
    /// Manages a repository of signed builds.
    Repo {
        #[command(subcommand)]
        command: RepoCommand,
    },
    /// Runs a live front node on the platform's own protocol, configured by the PROXY_ environment variables.
    Node {
        #[command(flatten)]
        peers: PeerArgs,
    },
    /// Runs a front over HTTP.
    Front {
        #[command(flatten)]
        listen: ListenArg,
        #[command(flatten)]
        target: ControllerArg,
        /// Its name in the settings.
        #[arg(long)]
        name: String,
        /// Directory of the snapshot from which it starts without the controller.
        #[arg(long)]
        state: Option<PathBuf>,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Maximum number of client connections.
        #[arg(long, default_value_t = 20_000)]
        clients: usize,
        /// Measure the time spent in the decision module.
        #[arg(long)]
        profile: bool,
        /// Address advertised to other fronts for notes, if it differs (a relay, address translation).
        #[arg(long)]
        notes_at: Option<SocketAddr>,
        #[command(flatten)]
        peers: PeerArgs,
    },
    /// Inspects the peers of fronts.
    Peers {
        #[command(subcommand)]
        command: PeersCommand,
    },
    /// Injects random faults into peered front processes; the exit code is 1 if the fronts fail to converge.
    Storm {
        /// Number of fronts.
        #[arg(long, default_value_t = 5)]
        peers: usize,
        /// Number of storms, each generated from its own seed.
        #[arg(long, default_value_t = 8)]
        seeds: u64,
        /// Seed of the first storm.
        #[arg(long, default_value_t = 1)]
        first: u64,
        /// Number of storms run in parallel.
        #[arg(long, default_value_t = 4)]
        lanes: usize,
        /// Reduce the first failing storm to a minimal plan; takes some minutes.
        #[arg(long)]
        shrink: bool,
        /// Run only this plan, in the form that a storm prints.
        #[arg(long)]
        plan: Option<PathBuf>,
    },
    /// Runs a stand-in machine.
    Machine {
        #[command(flatten)]
        listen: ListenArg,
        #[command(flatten)]
        target: ControllerArg,
        #[arg(long)]
        name: String,
        /// Name of its place in the settings.
        #[arg(long)]
        place: String,
        #[arg(long)]
        build: u32,
        #[arg(long, default_value_t = 1)]
        cores: usize,
        /// Speed of a core; 1 is one second of work per second.
        #[arg(long, default_value_t = 1.0)]
        speed: f64,
        /// Makes the build bad, as KIND:SIZE (errors:0.3); KIND is errors, method, slow, load, late, wrong or shared.
        #[arg(long)]
        bad: Option<String>,
        /// File for the record of requests received and executed.
        #[arg(long)]
        record: Option<PathBuf>,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Start warm, as after a long time in service.
        #[arg(long)]
        warm: bool,
        /// An agent reports it to the controller.
        #[arg(long)]
        agent: bool,
    },
    /// Runs a stand-in LDAPv3 directory server.
    Directory {
        #[command(flatten)]
        listen: ListenArg,
        /// Address of the HTTP interface that sets its content and faults.
        #[arg(long, default_value = "127.0.0.1:0")]
        control: SocketAddr,
        /// Use TLS from the start of each connection.
        #[arg(long)]
        ldaps: bool,
        /// Name in its certificate.
        #[arg(long, default_value = "localhost")]
        name: String,
        /// Use an expired certificate.
        #[arg(long)]
        expired: bool,
        /// Account that may bind, as DN=PASSWORD; repeatable. Without accounts any bind succeeds.
        #[arg(long)]
        account: Vec<String>,
    },
    /// Confirms that tenants missing from a directory have been deleted, at all fronts that watch a controller or
    /// at those given.
    Confirm {
        #[arg(long, required_unless_present = "front")]
        controller: Option<SocketAddr>,
        /// Addresses of fronts, separated by commas.
        #[arg(long, value_delimiter = ',')]
        front: Vec<SocketAddr>,
    },
    /// Runs stand-in clients.
    Client {
        #[command(flatten)]
        listen: ListenArg,
        #[command(flatten)]
        target: ControllerArg,
        /// Addresses of fronts, in the order of the settings; by default those known to the controller.
        #[arg(long, value_delimiter = ',')]
        fronts: Vec<SocketAddr>,
        /// RPCs per second.
        #[arg(long, default_value_t = 50.0)]
        rate: f64,
        #[arg(long, default_value_t = 10.0)]
        seconds: f64,
        #[arg(long, default_value_t = 2)]
        retries: u32,
        /// Mean work of an RPC, in milliseconds.
        #[arg(long, default_value_t = 50.0)]
        work_ms: f64,
        /// Fraction of wrong answers that clients dispute.
        #[arg(long, default_value_t = 0.3)]
        disputes: f64,
        #[arg(long)]
        record: Option<PathBuf>,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Runs a front that violates one rule on purpose, to test the rehearsal's checker.
    #[command(hide = true)]
    Faulty {
        #[command(flatten)]
        listen: ListenArg,
        #[command(flatten)]
        target: ControllerArg,
        #[arg(long)]
        name: String,
        #[arg(long)]
        breaks: u8,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Runs a scripted day with real processes on loopback and checks the rules from their records.
    Rehearse(Box<rockpick_rehearse::Plan>),
    /// Runs a scripted day on the emulator, in virtual time, with the same checker.
    Emulate(Box<emulation::Emulate>),
    /// Sends open-loop load to real fronts, on a schedule fixed in advance.
    Load(Box<load::LoadArgs>),
    /// Compares choices on the emulator by paired runs, with confidence intervals.
    Experiment {
        #[command(subcommand)]
        command: emulation::Experiment,
    },
    /// Reads, replaces or validates the settings.
    Settings {
        #[command(subcommand)]
        command: SettingsCommand,
    },
    /// Offers a build.
    Offer {
        #[command(flatten)]
        target: ControllerArg,
        build: u32,
    },
    /// Rolls the newest build back.
    Back {
        #[command(flatten)]
        target: ControllerArg,
        build: u32,
    },
    /// Shows the stage, machines, fronts and votes.
    Status {
        #[command(flatten)]
        target: ControllerArg,
        /// Print the controller's JSON reply.
        #[arg(long)]
        json: bool,
    },
    /// Runs a benchmark.
    Bench {
        #[command(subcommand)]
        command: BenchCommand,
    },
}

#[derive(Args)]
struct RepoPaths {
    /// Directory of the repository.
    #[arg(long)]
    dir: PathBuf,
    /// Directory of the private keys; only those of the roles that sign are needed.
    #[arg(long)]
    keys: PathBuf,
}

#[derive(Subcommand)]
enum RepoCommand {
    /// Creates a repository, with separate keys for each role.
    Init {
        #[command(flatten)]
        paths: RepoPaths,
        /// Number of keys per role, all of which must sign.
        #[arg(long, default_value_t = 1)]
        many: usize,
    },
    /// Adds a build.
    Add {
        #[command(flatten)]
        paths: RepoPaths,
        #[arg(long)]
        build: u32,
        /// Compress the artefact with zstd.
        #[arg(long)]
        pack: bool,
        artefact: PathBuf,
    },
    /// Signs a role's metadata again, with a new version and expiry.
    Sign {
        #[command(flatten)]
        paths: RepoPaths,
        role: String,
    },
    /// Replaces the keys of a role.
    Rotate {
        #[command(flatten)]
        paths: RepoPaths,
        role: String,
    },
    /// Verifies the whole repository as a client does, from a trusted root.
    Verify {
        #[arg(long)]
        dir: PathBuf,
        /// Trusted root metadata; by default the repository's first version.
        #[arg(long)]
        root: Option<PathBuf>,
    },
}

#[derive(Subcommand)]
enum BenchCommand {
    /// Compares one front on one core with direct calls and a plain proxy, in one run.
    Front(bench::Front),
    /// Runs many agents on one controller through a stage, rollbacks and a controller restart.
    Agents(bench_agents::Agents),
    /// Measures a directory's entries: load time, memory, and lookups compared with a plain hash map.
    Tenants(bench_tenants::Tenants),
}

#[derive(Subcommand)]
enum SettingsCommand {
    /// Prints a complete example document.
    Example {
        #[arg(long, default_value_t = 2)]
        fronts: usize,
        #[arg(long, default_value_t = 6)]
        places: usize,
    },
    /// Validates a document without sending it; `-` reads standard input.
    Check { file: PathBuf },
    /// Prints the current settings.
    Get {
        #[command(flatten)]
        target: ControllerArg,
    },
    /// Replaces the settings; an invalid document changes nothing.
    Put {
        #[command(flatten)]
        target: ControllerArg,
        file: PathBuf,
    },
}

/// An error that ends the command with exit code 2.
pub struct CliError(pub String);

/// Prints the line that parent processes read to learn the address.
fn print_listening(address: SocketAddr) {
    println!("listening {address}");
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let log_writer = log_writer::LogWriter::start(cli.log);
    let writer = log_writer.clone();
    let subscriber = tracing_subscriber::fmt().with_writer(move || writer.clone()).with_target(false);
    match cli.log {
        LogFormat::Json => subscriber.json().flatten_event(true).init(),
        LogFormat::Text => subscriber.with_ansi(false).init(),
    }
    if let Some(file) = cli.disk_lies {
        rockpick_files::inject_faults_from(file);
    }
    rockpick_net::set_clock_skew(cli.clock_ppm.unwrap_or(0));
    if let Some(seed) = cli.call_faults {
        rockpick_net::inject_call_faults(seed);
    }
    if let Some(seed) = cli.wall_clock_steps {
        rockpick_net::step_wall_clock(seed);
    }
    let result = run_command(cli.command).and_then(|code| match rockpick_rehearse::stdout_error() {
        None => Ok(code),
        Some(why) => Err(CliError(format!("standard output: {why}"))),
    });
    log_writer.finish();
    match result {
        Ok(code) => code,
        Err(CliError(why)) => {
            eprintln!("rockpick: {why}");
            ExitCode::from(2)
        }
    }
}

/// Validates a name, which becomes part of paths, request targets and headers.
fn check_name(flag: &str, name: &str) -> Result<(), CliError> {
    match is_valid_name(name) {
        true => Ok(()),
        false => Err(CliError(format!("{flag} {name:?}: 1 to 64 letters, digits, '-', '_' or '.'"))),
    }
}

fn run_command(command: Command) -> Result<ExitCode, CliError> {
    let success = Ok(ExitCode::SUCCESS);
    match command {
        Command::Controller { listen, state, repo } => {
            rockpick_control::Controller { listen: listen.listen, state, repo }
                .run(print_listening)
                .map_err(CliError)?;
            success
        }
        Command::Node { peers } => {
            let mut config =
                rockpick_node::Config::read(|name| std::env::var(name).ok()).map_err(CliError)?;
            config.peers = peers.config()?;
            rockpick_node::run(config, print_listening).map_err(CliError)?;
            success
        }
        Command::Front { listen, target, name, state, seed, clients, profile, notes_at, peers } => {
            check_name("--name", &name)?;
            if clients == 0 {
                return Err(CliError("--clients: must be 1 or more".into()));
            }
            // The snapshot file of such a name would collide with the controller's, or with the tenants or peers file
            // of another front.
            let collides = [".tenants", ".peers"].iter().any(|suffix| name.ends_with(suffix));
            if state.is_some() && (name == "controller" || collides) {
                return Err(CliError(format!(
                    "--name {name}: its snapshot file would collide with another process's"
                )));
            }
            let mut peers = peers.config()?;
            if let (Some(peers), Some(dir)) = (&mut peers, &state) {
                std::fs::create_dir_all(dir).map_err(|err| CliError(format!("{}: {err}", dir.display())))?;
                peers.row_log = Some(dir.join(format!("{name}.peers.rows")));
            }
            let options = rockpick_front::Options {
                name,
                listen: listen.listen,
                controller: target.controller,
                state,
                seed,
                profile,
                max_clients: clients,
                notes_at,
                peers,
            };
            rockpick_front::run(options, print_listening).map_err(CliError)?;
            success
        }
        Command::Peers { command } => match command {
            PeersCommand::Show { front, json } => api_client::print_peers(front, json),
            PeersCommand::State { front, table, json } => api_client::print_rows(front, &table, json),
            PeersCommand::Differ { fronts } => api_client::print_differences(&fronts),
        },
        Command::Storm { peers, seeds, first, lanes, shrink, plan } => {
            if !(2..=50).contains(&peers) {
                return Err(CliError("--peers: must be 2 to 50".into()));
            }
            let read = |file: PathBuf| -> Result<rockpick_fault_injection::Plan, CliError> {
                let error = |why: String| CliError(format!("{}: {why}", file.display()));
                let text = std::fs::read_to_string(&file).map_err(|err| error(err.to_string()))?;
                rockpick_fault_injection::Plan::read(&text).map_err(error)
            };
            let plan = plan.map(read).transpose()?;
            let passed = storm::Storms { fronts: peers, first, seeds, lanes, plan, shrink }.run()?;
            Ok(ExitCode::from(u8::from(!passed)))
        }
        Command::Agent { target, machine, state, root, rate, seed, take_down } => {
            check_name("--machine", &machine)?;
            if !(1e3..=1e12).contains(&rate) {
                return Err(CliError("--rate: must be 1000 to 1e12 bytes per second".into()));
            }
            let controller = target.controller;
            let agent =
                rockpick_agent::Agent { place: machine, controller, state, root, rate, seed, take_down };
            agent.run(|| println!("agent up")).map_err(CliError)?;
            success
        }
        Command::Repo { command } => run_repo(command),
        Command::Machine {
            listen,
            target,
            name,
            place,
            build,
            cores,
            speed,
            bad,
            record,
            seed,
            warm,
            agent,
        } => {
            check_name("--name", &name)?;
            check_name("--place", &place)?;
            let bad = match bad {
                None => None,
                Some(text) => {
                    Some(Defect::parse(&text).ok_or(CliError(format!("--bad {text}: expected KIND:SIZE")))?)
                }
            };
            if !(speed > 0.0 && speed <= 1e3 && (1..=1024).contains(&cores)) {
                return Err(CliError(
                    "--speed: must be above 0, at most 1000; --cores: must be 1 to 1024".into(),
                ));
            }
            let (listen, controller) = (listen.listen, target.controller);
            let stand_in = Machine {
                name,
                place,
                build,
                listen,
                controller,
                cores,
                speed,
                bad,
                record,
                seed,
                warm,
                agent,
            };
            stand_in.run(print_listening).map_err(CliError)?;
            success
        }
        Command::Client {
            listen,
            target,
            fronts,
            rate,
            seconds,
            retries,
            work_ms,
            disputes,
            record,
            seed,
        } => {
            let settings = api_client::settings(target.controller)?;
            let (names, fronts) = match fronts.is_empty() {
                true => api_client::fronts(target.controller)?,
                false => {
                    (settings.fronts.iter().map(|f| f.name.clone()).take(fronts.len()).collect(), fronts)
                }
            };
            if fronts.is_empty() || names.len() != fronts.len() {
                return Err(CliError(
                    "no fronts are known, or --fronts has more addresses than the settings have fronts"
                        .into(),
                ));
            }
            if !(rate > 0.0 && seconds > 0.0 && work_ms > 0.0) {
                return Err(CliError("--rate, --seconds and --work-ms must be above 0".into()));
            }
            let clients = Clients {
                fronts,
                names,
                settings,
                load: Load { rate, ..Load::default() },
                listen: listen.listen,
                duration: (seconds * SEC as f64) as i64,
                retries,
                work_ms,
                disputes,
                record,
                seed,
            };
            let (tally, times) = clients.run(print_listening).map_err(CliError)?;
            let quantile_ms = |q: f64| times.value_at_quantile(q) as f64 / (MS / 1_000) as f64;
            println!("service {:.3}  rpcs {}  ok {}  late {}  pushed back {}  aborted {}  unanswered {}  not sent {}",
                tally.served / tally.asked.max(1e-9), tally.rpcs, tally.ok, tally.late, tally.pushed_back, tally.aborted,
                tally.unanswered, tally.not_sent);
            println!(
                "ok after ms: p50 {:.1}  p90 {:.1}  p99 {:.1}",
                quantile_ms(0.5),
                quantile_ms(0.9),
                quantile_ms(0.99)
            );
            success
        }
        Command::Directory { listen, control, ldaps, name, expired, account } => {
            let split = |account: &String| {
                account.rsplit_once('=').map(|(dn, password)| (dn.to_string(), password.to_string()))
            };
            let accounts: Option<Vec<(String, String)>> = account.iter().map(split).collect();
            let accounts = accounts.ok_or(CliError("--account: expected DN=PASSWORD".into()))?;
            let listen = listen.listen;
            let server = rockpick_fakes::DirectoryServer { listen, control, ldaps, name, expired, accounts };
            let print_addresses = |address, control| {
                print_listening(address);
                println!("control {control}");
            };
            server.run(print_addresses).map_err(CliError)?;
            success
        }
        Command::Confirm { controller, front } => {
            let fronts = match controller {
                Some(at) if front.is_empty() => api_client::fronts(at)?.1,
                _ => front,
            };
            // A failure at one front does not keep the others from being told.
            let mut failed = fronts.is_empty();
            for front in &fronts {
                match api_client::call(*front, "POST", "/directory/confirm", "") {
                    Ok(answer) => {
                        failed |= answer.status != 200;
                        println!("{front}: {}", String::from_utf8_lossy(&answer.body).trim_end());
                    }
                    Err(CliError(why)) => {
                        failed = true;
                        println!("{front}: {why}");
                    }
                }
            }
            Ok(if failed { ExitCode::from(1) } else { ExitCode::SUCCESS })
        }
        Command::Faulty { listen, target, name, breaks, seed } => {
            let (listen, controller) = (listen.listen, target.controller);
            rockpick_fakes::Faulty { name, listen, controller, breaks, seed }
                .run(print_listening)
                .map_err(CliError)?;
            success
        }
        Command::Rehearse(plan) => match rockpick_rehearse::run(*plan) {
            Ok(passed) => Ok(if passed { ExitCode::SUCCESS } else { ExitCode::from(1) }),
            Err(why) => Err(CliError(why)),
        },
        Command::Emulate(emulate) => emulate.run(),
        Command::Load(load) => load.run(),
        Command::Experiment { command } => command.run(),
        Command::Settings { command } => run_settings(command),
        Command::Offer { target, build } => api_client::call_and_print(
            target.controller,
            "POST",
            "/builds",
            &format!("{{\"build\":{build}}}"),
        ),
        Command::Back { target, build } => {
            api_client::call_and_print(target.controller, "POST", &format!("/builds/{build}/back"), "")
        }
        Command::Status { target, json } => api_client::print_status(target.controller, json),
        Command::Bench { command: BenchCommand::Front(front) } => front.run(),
        Command::Bench { command: BenchCommand::Agents(agents) } => agents.run(),
        Command::Bench { command: BenchCommand::Tenants(tenants) } => tenants.run(),
    }
}

fn run_repo(command: RepoCommand) -> Result<ExitCode, CliError> {
    use rockpick_trust::repo::Repo;
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let now = since_epoch.map_or(0, |d| d.as_secs() as i64);
    let open = |dir: PathBuf| Repo { dir, now };
    match command {
        RepoCommand::Init { paths, many } => open(paths.dir).init(&paths.keys, many).map_err(CliError)?,
        RepoCommand::Add { paths, build, pack, artefact } => {
            println!("{}", open(paths.dir).add(&paths.keys, build, &artefact, pack).map_err(CliError)?);
        }
        RepoCommand::Sign { paths, role } => open(paths.dir).sign(&paths.keys, &role).map_err(CliError)?,
        RepoCommand::Rotate { paths, role } => {
            open(paths.dir).rotate(&paths.keys, &role).map_err(CliError)?
        }
        RepoCommand::Verify { dir, root } => {
            let root = read(&root.unwrap_or_else(|| dir.join("metadata/1.root.json")))?;
            match open(dir).verify(&root) {
                Ok(builds) => println!("good: {}", builds.join(" ")),
                Err(why) => {
                    println!("refused: {why}");
                    return Ok(ExitCode::from(1));
                }
            }
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn read(file: &std::path::Path) -> Result<Vec<u8>, CliError> {
    let mut text = Vec::new();
    let result = if file.as_os_str() == "-" {
        std::io::Read::read_to_end(&mut std::io::stdin(), &mut text).map(drop)
    } else {
        std::fs::read(file).map(|t| text = t)
    };
    result.map_err(|err| CliError(format!("{}: {err}", file.display())))?;
    Ok(text)
}

fn run_settings(command: SettingsCommand) -> Result<ExitCode, CliError> {
    match command {
        SettingsCommand::Example { fronts, places } => {
            let example = rockpick_control::Settings::example(fronts, places);
            if let Some(invalid) = example.validate().first() {
                return Err(CliError(format!("{}: {}", invalid.field, invalid.why)));
            }
            println!("{}", serde_json::to_string_pretty(&example).unwrap_or_default());
            Ok(ExitCode::SUCCESS)
        }
        SettingsCommand::Check { file } => match rockpick_control::Settings::parse(&read(&file)?) {
            Ok(_) => {
                println!("good");
                Ok(ExitCode::SUCCESS)
            }
            Err(errors) => {
                errors.iter().for_each(|error| println!("{}: {}", error.field, error.why));
                Ok(ExitCode::from(1))
            }
        },
        SettingsCommand::Get { target } => {
            api_client::call_and_print(target.controller, "GET", "/settings", "")
        }
        SettingsCommand::Put { target, file } => {
            let text = read(&file)?;
            // Accepts the output of `get`, which wraps the settings in an object, as well as a bare document.
            let text = match serde_json::from_slice::<serde_json::Value>(&text) {
                Ok(mut value) if value.get("settings").is_some() => value["settings"].take().to_string(),
                _ => String::from_utf8_lossy(&text).into_owned(),
            };
            api_client::call_and_print(target.controller, "PUT", "/settings", &text)
        }
    }
}
