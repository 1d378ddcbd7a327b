//! What an operator does with a deployment: runs the client against a daemon and submits configurations.

use super::Deployment;
use std::ffi::OsString;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};

/// File of the configuration document that was submitted last.
const DOCUMENT: &str = "document.toml";

impl Deployment {
    /// Runs the operators' client against a daemon.
    ///
    /// # Errors
    /// The client can't be started.
    pub fn client(&self, daemon: usize, arguments: &[&str]) -> std::io::Result<Output> {
        self.client_command(daemon, arguments).output()
    }

    /// The operators' client against a daemon, not yet started.
    fn client_command(&self, daemon: usize, arguments: &[&str]) -> Command {
        let mut all: Vec<OsString> = vec!["client".into(), "--daemon".into()];
        all.push(self.daemons[daemon].machine.admin().to_string().into());
        all.extend(arguments.iter().map(OsString::from));
        let mut command = Command::new(&self.options.program);
        command.args(all).stdin(Stdio::null());
        command
    }

    /// The client, not yet started, that submits the last document once more through a daemon.
    #[must_use]
    pub fn submission(&self, daemon: usize, more: &[&str]) -> Command {
        let file = self.document_file().to_string_lossy().into_owned();
        let mut arguments = vec!["submit", &file, "--author", "lab"];
        arguments.extend_from_slice(more);
        self.client_command(daemon, &arguments)
    }

    /// Submits a document through a daemon; with `--wait` among `more`, until it is in force everywhere.
    ///
    /// # Errors
    /// The client's error output.
    pub fn submit(&self, daemon: usize, document: &str, more: &[&str]) -> Result<String, String> {
        std::fs::write(self.document_file(), document).map_err(|error| error.to_string())?;
        let output = self.submission(daemon, more).output().map_err(|error| error.to_string())?;
        if output.status.success() {
            Ok(String::from_utf8_lossy(&output.stdout).into_owned())
        } else {
            Err(String::from_utf8_lossy(&output.stderr).into_owned())
        }
    }

    fn document_file(&self) -> PathBuf {
        self.directory.path().join(DOCUMENT)
    }
}
