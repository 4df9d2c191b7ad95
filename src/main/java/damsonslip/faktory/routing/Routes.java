package damsonslip.faktory.routing;

import damsonslip.faktory.jobs.Glob;
import java.util.List;

/**
 * The operator's routes from queues and jobtypes to job classes. The first route that matches
 * decides; a job that none matches belongs to the default class, if there is one. Immutable.
 *
 * @param routes in the operator's order
 * @param defaultClass the index of the default class, or {@link #NO_CLASS}
 * @param classNames the classes' names, by index
 */
public record Routes(List<Route> routes, int defaultClass, List<String> classNames) {
    /** Stands for the index of a class where there is none. */
    public static final int NO_CLASS = -1;

    /** Jobs whose queue and jobtype both match belong to this class. */
    public record Route(Glob queue, Glob jobtype, int jobClass) {
        boolean matches(String queueName, String type) {
            return queue.matches(queueName) && jobtype.matches(type);
        }
    }

    /**
     * The index of a job's class; {@link #NO_CLASS} if it has none.
     *
     * @param className the class that the job itself names, which precedes the routes; may be empty
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
