//! The soak by hand: many seeds, a site at a time.
//!
//! `cargo build --release --bins && cargo run --release --example soak -- --seeds 50`
//!
//! A seed that breaks a promise keeps its logs, and tells the story of each request concerned.

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use crosslane::explain::Story;
use crosslane_harness::site::Binaries;
use crosslane_platform_standins::repeats::Budget;
use crosslane_platform_standins::texts::RETRY_BUDGET;
use crosslane_platform_standins::unframed::Unframed;
use crosslane_soak::fault::Mix;
use crosslane_soak::pressure::{Competition, Pressure};
use crosslane_soak::proxy::Surplus;
use crosslane_soak::run::{self, Report};
use crosslane_soak::site::Plan;
use std::fs::File;
use std::io::{self, BufReader, Read};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// Numbers that may be set, with what they are and the usual value.
const NUMBERS: [(&str, &str, &str); 12] = [
    ("seed", "First seed", "1"),
    ("seeds", "How many seeds, one after the other", "1"),
    ("seconds", "Time in which faults begin", "15"),
    ("nodes", "Nodes", "5"),
    ("engines", "Engines", "7"),
    ("pages", "Plain endpoints", "3"),
    ("callers", "Callers", "24"),
    ("versions", "Software versions side by side", "2"),
    ("retry-percent", "Repeats per hundred requests that the retry budget allows", "20"),
    (
        "unframed",
        "Answers per hundred with neither a length nor chunks; above zero, engines also forget moves",
        "30",
    ),
    (
        "surplus",
        "Answers per hundred to engines' control calls that come once more, in the place of the next one",
        "10",
    ),
    ("retry-slack", "Repeats allowed in addition", "50"),
];

/// Loads that may be added, with what they are.
const LOADS: [(&str, &str); 6] = [
    ("bursts", "Callers of different priority compete in bursts for decode memory and plain slots"),
    ("speeds", "Endpoints of different and changing speed, which report their pace"),
    ("slots", "Plain endpoints with few slots and a short queue, which refuse when full"),
    ("malformed-loads", "Every second endpoint reports a malformed load"),
    ("failing", "Endpoints fail half of their requests, so that the retry budget is used up"),
    ("quiet", "No faults; with --bursts, plain calls must be served again soon after each"),
];

fn main() -> io::Result<ExitCode> {
    let number = |(name, help, usual): (&'static str, &'static str, &'static str)| {
        let arg = Arg::new(name).long(name).help(help).value_name("NUMBER");
        arg.default_value(usual).value_parser(value_parser!(u64))
    };
    let folder = Arg::new("logs").long("logs").value_name("FOLDER").default_value("target/soak");
    let gathering = Arg::new("gathering").long("gathering").action(ArgAction::SetTrue);
    let gathering = gathering.help("Most callers gather at one node, again and again");
    let planned = Arg::new("planned").long("planned").action(ArgAction::SetTrue);
    let planned = planned.help("Planned work only, which must cut off nothing");
    let command = Command::new("soak").about("Random faults on a site of real nodes");
    let command = command.args(NUMBERS.map(number)).arg(folder).arg(gathering).arg(planned);
    let load = |(name, help)| Arg::new(name).long(name).help(help).action(ArgAction::SetTrue);
    let command = command.args(LOADS.map(load));
    let matches = command.get_matches();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let first = get(&matches, "seed");
    let (mut broken, mut competition) = (Vec::new(), Competition::default());
    for seed in first..first + get(&matches, "seeds") {
        let folder = PathBuf::from(matches.get_one::<String>("logs").map_or("", String::as_str))
            .join(format!("seed-{seed}"));
        std::fs::create_dir_all(&folder)?;
        let report = runtime.block_on(run::run(&plan(&matches, seed)?, &folder))?;
        println!("{report}");
        competition.add(&report.competition);
        if report.violations.is_empty() {
            if report.misses_aim() {
                println!(
                    "many endpoints ended under one request or segment; logs: {}",
                    folder.display()
                );
            } else {
                std::fs::remove_dir_all(&folder)?;
            }
            continue;
        }
        explain(&report, &folder)?;
        broken.push(seed);
    }
    let unfair = competition.unfair();
    if !unfair.is_empty() {
        println!("over all seeds, urgent routes were served less often: {unfair:?}\n{competition}");
    }
    if broken.is_empty() && unfair.is_empty() {
        return Ok(ExitCode::SUCCESS);
    }
    println!("seeds that broke a promise: {broken:?}; again: the same command with --seed N");
    Ok(ExitCode::FAILURE)
}

fn get(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one(name).copied().unwrap_or_default()
}

fn plan(matches: &ArgMatches, seed: u64) -> io::Result<Plan> {
    Ok(Plan {
        seed,
        nodes: get(matches, "nodes") as usize,
        engines: get(matches, "engines") as usize,
        pages: get(matches, "pages") as usize,
        callers: get(matches, "callers") as usize,
        time: Duration::from_secs(get(matches, "seconds")),
        partitions: true,
        mix: match (matches.get_flag("planned"), matches.get_flag("quiet")) {
            (_, true) => Mix::Quiet,
            (true, false) => Mix::Planned,
            (false, false) => Mix::All,
        },
        pressure: Pressure {
            bursts: matches.get_flag("bursts"),
            speeds: matches.get_flag("speeds"),
            slots: matches.get_flag("slots"),
            malformed_loads: matches.get_flag("malformed-loads"),
            failing: matches.get_flag("failing"),
            unframed: Unframed(get(matches, "unframed")),
            surplus: Surplus(get(matches, "surplus")),
        },
        gathering: matches.get_flag("gathering"),
        retry_budget: Budget {
            ratio: get(matches, "retry-percent") as f64 / 100.0,
            slack: get(matches, "retry-slack") as f64,
            ..RETRY_BUDGET
        },
        versions: get(matches, "versions").max(1) as usize,
        program: Binaries::beside(&std::env::current_exe()?).node,
    })
}

/// Tells the story of each request that a broken promise names.
fn explain(report: &Report, folder: &Path) -> io::Result<()> {
    println!("logs: {}", folder.display());
    let named = report.violations.iter().filter(|it| !it.request.is_empty());
    for violation in named {
        let mut logs: Box<dyn Read> = Box::new(io::empty());
        for entry in std::fs::read_dir(folder)? {
            let path = entry?.path();
            if path.extension().is_some_and(|it| it == "log") {
                logs = Box::new(logs.chain(File::open(path)?));
            }
        }
        match Story::read(&violation.request, BufReader::new(logs)) {
            Ok(story) => println!("{story}"),
            Err(error) => println!("no story: {error}"),
        }
    }
    Ok(())
}
