//! The emulator's program: one command for each use, and the daemon and the operators' client as commands of their own, so that
//! a deployment needs no other program.

use std::ffi::OsString;
use std::process::ExitCode;

const HELP: &str = "\
seamhatch-lab - emulator and experiments

USAGE: seamhatch-lab COMMAND

  demo               start a small deployment, send load, print what happened
  soak               inject faults under load and check the promises
  report HISTORY     plot the history of a soak as a page
  bound PLAN.toml    the most credit that any admission could earn on a day
  cost               the processor time that daemons use for each call
  run SCENARIO.toml  run an experiment, with control and without, and report
  daemon FLAGS       run seamhatchd (ends when its standard input closes)
  client ARGUMENTS   run the operators' client
";

fn main() -> ExitCode {
    let mut arguments: Vec<OsString> = std::env::args_os().skip(1).collect();
    if arguments.is_empty() {
        eprint!("{HELP}");
        return ExitCode::from(2);
    }
    let command = arguments.remove(0);
    match command.to_string_lossy().as_ref() {
        "demo" => seamhatch_lab::demo::run(arguments),
        "soak" => seamhatch_lab::soak::run(arguments),
        "report" => seamhatch_lab::soak::report::run(arguments),
        "bound" => seamhatch_lab::bound::run(arguments),
        "cost" => seamhatch_lab::cost::run(arguments),
        "run" => seamhatch_lab::experiment::run(arguments),
        "daemon" => {
            seamhatch_lab::process::end_with_standard_input();
            seamhatchd::run_with(arguments, |settings| Ok(seamhatch_lab::conventions::lab_ports(settings)))
        }
        "client" => seamhatch::run(arguments),
        "--help" | "-h" => {
            print!("{HELP}");
            ExitCode::SUCCESS
        }
        other => {
            eprintln!("seamhatch-lab: unknown command {other:?}; see seamhatch-lab --help");
            ExitCode::from(2)
        }
    }
}
