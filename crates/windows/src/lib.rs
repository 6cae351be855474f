//! Times at which engines may be taken away while what remains still covers every cell; free of I/O and clock. See
//! `docs/windows.md`.
