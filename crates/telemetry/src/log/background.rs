//! A sink that never blocks: lines go to standard output on a thread of their own.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::TrySendError;
use std::sync::mpsc::sync_channel;
use std::thread;

use spdlog::Record;
use spdlog::StringBuf;
use spdlog::formatter::Formatter;
use spdlog::formatter::FormatterContext;
use spdlog::sink::GetSinkProp;
use spdlog::sink::Sink;
use spdlog::sink::SinkProp;

/// Lines that wait for a slow reader; further ones are dropped and counted.
const WAITING_LINES: usize = 256;

/// Stack of the thread that writes, in bytes.
const STACK: usize = 32 * 1024;

/// Writes lines to standard output in the background.
pub(super) struct BackgroundSink {
    prop: SinkProp,
    formatter: Box<dyn Formatter>,
    lines: SyncSender<String>,
    dropped: Arc<AtomicU64>,
}

impl BackgroundSink {
    /// Starts the thread that writes.
    pub(super) fn start(formatter: impl Formatter + 'static) -> io::Result<Self> {
        let (lines, waiting) = sync_channel(WAITING_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let told = dropped.clone();
        thread::Builder::new()
            .name("log".to_owned())
            .stack_size(STACK)
            .spawn(move || write(&waiting, &told))?;
        let prop = SinkProp::default();
        Ok(Self { prop, formatter: Box::new(formatter), lines, dropped })
    }
}

impl GetSinkProp for BackgroundSink {
    fn prop(&self) -> &SinkProp {
        &self.prop
    }
}

impl Sink for BackgroundSink {
    fn log(&self, record: &Record) -> spdlog::Result<()> {
        let mut line = StringBuf::new();
        self.formatter.format(record, &mut line, &mut FormatterContext::new())?;
        if let Err(TrySendError::Full(_)) = self.lines.try_send(line.to_string()) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        Ok(())
    }
}

/// Writes lines until the process ends. There is nowhere to report an error of the log itself.
fn write(lines: &Receiver<String>, dropped: &AtomicU64) {
    while let Ok(line) = lines.recv() {
        let mut out = io::stdout().lock();
        let _ = out.write_all(line.as_bytes());
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let _ = writeln!(out, "level=warn event=log_lines_dropped count={lost}");
        }
        let _ = out.flush();
    }
}
