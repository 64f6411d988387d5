//! The `dandelionspool` program: runs [`dandelionspool::cli`].

fn main() -> std::process::ExitCode {
    dandelionspool::cli::main()
}
