/* A Python interpreter that ignores SIGHUP while it starts.
 *
 * The default action of SIGHUP ends a process.  A Python program can change that only once the
 * interpreter has started, which takes some 10 ms; libpython is opened after the signal is ignored,
 * since loading it takes longer than the rest.
 */

#include <dlfcn.h>
#include <signal.h>
#include <stdio.h>

#define EXIT_NO_INTERPRETER 127

int main(int argc, char **argv)
{
    signal(SIGHUP, SIG_IGN);
    /* Extension modules find the interpreter's symbols only in a global library. */
    void *library = dlopen(LIBPYTHON, RTLD_NOW | RTLD_GLOBAL);
    int (*run)(int, char **) = NULL;
    if (library != NULL)
        *(void **)&run = dlsym(library, "Py_BytesMain");
    if (run == NULL) {
        fprintf(stderr, "%s: %s; build again\n", argv[0], dlerror());
        return EXIT_NO_INTERPRETER;
    }
    return run(argc, argv);
}
