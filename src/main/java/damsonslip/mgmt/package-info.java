/**
 * The second address, for the operators' staff and their tools: a line in, an answer out, and the connection ends.
 * {@code Call} is the line decoded once, {@code Reply} the answer encoded once, {@code Mgmt} listens and keeps a small
 * budget of connections apart from the clients'. What a call does stands in {@code operations}.
 */
package damsonslip.mgmt;
