/** Tests that use the program as a library, from outside its packages. */
package embedding;
