/**
 * The interactive console: {@code ConsoleServer} answers command lines inside the scheduler, on the
 * event loop; {@code ConsoleClient} is the operator's terminal, a process of its own. Commands are
 * executed by {@code operations}, or answered from the state of the front and the engine.
 */
package damsonslip.admin.console;
