/**
 * The interactive console: {@code ConsoleServer} answers command lines inside the scheduler, on the
 * event loop; {@code ConsoleClient} is the operator's terminal, a process of its own. The commands
 * are carried out by {@code operations}, or read from the front and the engine.
 */
package damsonslip.admin.console;
