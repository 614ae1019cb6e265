package org.carobdoor.node.http;

/** Carries a {@link Problem} from a route handler to the error handler. */
final class ProblemException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient Problem problem;

    ProblemException(Problem problem) {
        // Without a stack trace: invalid requests are frequent and do not indicate a bug.
        super(problem.detail(), null, false, false);
        this.problem = problem;
    }

    Problem problem() {
        return problem;
    }
}
