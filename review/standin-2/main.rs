//! Plays one case of the review: `standin CASE RECORD`, at the root of the repository. With `TROUBLE=0` in the environment it plays
//! the case without its disruption. Exit code: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.

mod calls;
mod departed;
mod deployment;
mod hang;
mod http;
mod json;
mod readers;
mod store;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: standin CASE RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = deployment::Record::create(path);
    record.say(format!("case {case}, {}", if trouble { "with its disruption" } else { "without its disruption" }));
    // A panic says that the case could not run.
    let played = std::panic::catch_unwind(|| match case.as_str() {
        "calls" => calls::play(&record, trouble),
        "departed" => departed::play(&record, trouble),
        "readers" => readers::play(&record, trouble),
        "hang" => hang::play(&record, trouble),
        _ => deployment::cannot_run("there is no such case"),
    });
    let held = played.unwrap_or_else(|_| std::process::exit(2));
    record.say(if held { "the rule held" } else { "the rule was broken" });
    std::process::exit(i32::from(!held));
}
