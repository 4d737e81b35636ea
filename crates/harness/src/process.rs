//! One child process that says on its first line where it listens.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};

/// A running process, killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// First line that it wrote.
    pub line: String,
}

impl Process {
    /// Starts a program, with its standard error going to a file.
    pub fn start(program: &Path, arguments: &[String], errors: &Path) -> io::Result<Self> {
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(File::options().create(true).append(true).open(errors)?)
            .spawn()?;
        let mut line = String::new();
        if let Some(output) = child.stdout.take() {
            BufReader::new(output).read_line(&mut line)?;
        }
        Ok(Self { child, line: line.trim().to_owned() })
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let _ = kill(Pid::from_raw(self.child.id().cast_signed()), signal);
    }

    /// Exit status, once it has ended.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
