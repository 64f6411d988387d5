//! The `dandelionspool` program: a thin shell around [`dandelionspool::cli`].

fn main() -> std::process::ExitCode {
    dandelionspool::cli::main()
}
