package damsonslip.faktory.routing;

import damsonslip.faktory.jobs.Glob;
import java.util.List;

/**
 * The configured routes from queues and jobtypes to job classes. The first matching route applies;
 * a job that matches none belongs to the default class, if there is one. Immutable.
 *
 * @param routes the routes in configured order
 * @param defaultClass the index of the default class, or {@link #NO_CLASS}
 * @param classNames the classes' names, by index
 */
public record Routes(List<Route> routes, int defaultClass, List<String> classNames) {
    /** The class index that means "no class". */
    public static final int NO_CLASS = -1;

    /** Assigns jobs whose queue and jobtype both match to a class, given by its index. */
    public record Route(Glob queue, Glob jobtype, int jobClass) {
        boolean matches(String queueName, String type) {
            return queue.matches(queueName) && jobtype.matches(type);
        }
    }

    /**
     * The index of a job's class; {@link #NO_CLASS} if it has none or names an unknown one.
     *
     * @param className the class named in the job itself, which takes precedence over the routes;
     *     may be empty
     */
    public int classOf(String className, String queue, String jobtype) {
        if (!className.isEmpty()) {
            return classNames.indexOf(className);
        }
        return routes.stream()
                .filter(route -> route.matches(queue, jobtype))
                .mapToInt(Route::jobClass)
                .findFirst()
                .orElse(defaultClass);
    }
}
