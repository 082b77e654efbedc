package org.aspenmoor;

/** The base class of all checked exceptions: states what happened, where, and what to do next. */
public class AspenmoorException extends Exception {
    private static final long serialVersionUID = 1L;

    private final String problem;
    private final String place;
    private final String remedy;

    public AspenmoorException(String problem, String place, String remedy) {
        this(problem, place, remedy, null);
    }

    public AspenmoorException(String problem, String place, String remedy, Throwable cause) {
        super(String.join(System.lineSeparator(), problem, "  where: " + place, "  next:  " + remedy), cause);
        this.problem = problem;
        this.place = place;
        this.remedy = remedy;
    }

    /** Returns a description of the problem, in one sentence. */
    public String problem() {
        return problem;
    }

    /** Returns where the problem occurred: a file, an object, a process or a field. */
    public String place() {
        return place;
    }

    /** Returns what the user can do about the problem. */
    public String remedy() {
        return remedy;
    }
}
