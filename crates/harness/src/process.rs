//! A child process that is killed when its handle is dropped, and can be suspended.

use {
    rustix::process::{Pid, Signal, kill_process},
    std::{
        io::{self, BufRead, BufReader, Write},
        process::{Child, Command, ExitStatus, Stdio},
        thread,
    },
};

/// A running child process.
pub struct Process {
    child: Child,
    /// First line of its standard output.
    pub first_line: String,
}

impl Process {
    /// Starts a process and waits for its first line of output.
    pub fn start(command: &mut Command) -> io::Result<Process> {
        Process::start_with_output(command, io::sink())
    }

    /// Starts a process as [`Process::start`] does, and copies its output.
    pub fn start_with_output(
        command: &mut Command,
        mut output: impl Write + Send + 'static,
    ) -> io::Result<Process> {
        let mut child = command.stdin(Stdio::null()).stdout(Stdio::piped()).spawn()?;
        let stdout = child.stdout.take().expect("stdout is piped");
        let mut stdout = BufReader::new(stdout);
        let mut first_line = String::new();
        if stdout.read_line(&mut first_line)? == 0 {
            let status = child.wait()?;
            return Err(io::Error::other(format!("{command:?} ended without output: {status}")));
        }
        output.write_all(first_line.as_bytes())?;
        // All of it is read, so that the child does not block on a full pipe.
        thread::spawn(move || io::copy(&mut stdout, &mut output));
        Ok(Process { child, first_line: first_line.trim_end().to_owned() })
    }

    /// Returns its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills it (SIGKILL) and waits for its end.
    pub fn kill(&mut self) {
        // It may already have ended.
        _ = self.child.kill();
        _ = self.child.wait();
    }

    /// Suspends it (SIGSTOP).
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes it (SIGCONT).
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// Requests its termination (SIGTERM).
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits until it has ended.
    pub fn wait(&mut self) -> io::Result<ExitStatus> {
        self.child.wait()
    }

    /// Returns its exit status, if it has ended.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        // It may already have ended.
        _ = kill_process(pid.expect("a child has a positive process id"), signal);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
