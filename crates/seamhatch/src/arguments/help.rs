//! Help texts of the client and of its commands.

/// Help of the whole client.
pub const HELP: &str = "\
seamhatch - operate a seamhatch deployment

USAGE: seamhatch [--daemon IP:PORT]... [--json] COMMAND

  check FILE      check a configuration without any daemon
  submit FILE     submit a configuration (- reads standard input)
  status          show members, configuration and witnesses
  history         show the latest accepted submissions
  explain         show what the policy decides for a request
  drain           let a member finish its work and take no more
  crashes         show requests that crash servers, or clear one
  trace ID        show a request's path in the logs of daemons

  --daemon IP:PORT  admin address of a daemon; may be repeated, the next is
                    tried when one can't be reached (or set SEAMHATCH_DAEMON)
  --json            print JSON
  --timeout SECONDS longest time for the command (default 30)
  COMMAND --help    options of a command

EXIT CODES
  0 done                     4 conflict: another submission came first
  1 the client failed        5 unknown whether the submission was accepted
  2 wrong command line       6 no daemon or store; nothing was changed
  3 refused                  7 a wait ran out of time
";

const CHECK_HELP: &str = "\
seamhatch check FILE

Checks a configuration offline: TOML, keys, ranges, routes; compiles the policy
and tries it on its samples. FILE may be - for standard input.
";

const SUBMIT_HELP: &str = "\
seamhatch submit FILE [--expect-generation N] [--author NAME] [--id HEX] [--wait]

Submits a configuration. Accepted means that it lies in the key-value service
and will be in force everywhere within seconds.

  --expect-generation N  refuse unless N is in force (for pipelines)
  --author NAME          who submits (default: $USER)
  --id HEX               finds out about an earlier submission, or repeats it
  --wait                 wait until it is in force at every live member
";

const STATUS_HELP: &str = "\
seamhatch status

Shows each member with its state and configuration generation, and the witnesses.
";

const HISTORY_HELP: &str = "\
seamhatch history

Shows the latest accepted submissions, the newest first.
";

const EXPLAIN_HELP: &str = "\
seamhatch explain --path PATH [--method METHOD] [--header NAME:VALUE]... [--tenant NAME]

Shows what the policy in force decides for a request.

  --tenant NAME  as sent with a key of this tenant (default: without a key)
";

const DRAIN_HELP: &str = "\
seamhatch drain [--member IP:PORT] [--wait]

Drains the member with this gossip address (default: the daemon that is asked):
it takes no new work and finishes what it has.

  --wait  wait until the daemon that is asked has nothing in progress
";

const CRASHES_HELP: &str = "\
seamhatch crashes [clear DIGEST]

Shows the requests that were at work when servers crashed and have not come to a good
end since, those with the most crashes first, as the daemon that is asked knows them;
and which of them are turned away, and for how long.

  clear DIGEST  forget what speaks against a request, at all daemons
";

const TRACE_HELP: &str = "\
seamhatch trace ID [FILE]...

Reads logs of daemons (JSON, one file for each, or standard input), and prints what
happened to the request with this id and to its calls, in order of time. Lines marked
with * tell what the daemons on its way came to believe meanwhile. The last line names
the cause. With --json: an object with `cause` and `lines`.

Example: seamhatch trace 9c41d07be2a35f68 /var/log/seamhatch/*.log
";

/// The options of one command; none for a command that does not exist.
pub(super) fn of_command(command: &str) -> Option<&'static str> {
    match command {
        "check" => Some(CHECK_HELP),
        "submit" => Some(SUBMIT_HELP),
        "status" => Some(STATUS_HELP),
        "history" => Some(HISTORY_HELP),
        "explain" => Some(EXPLAIN_HELP),
        "drain" => Some(DRAIN_HELP),
        "crashes" => Some(CRASHES_HELP),
        "trace" => Some(TRACE_HELP),
        _ => None,
    }
}
